//! Processes of a fleet: started with a port of their own, and ended with it.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use eyre::{ensure, eyre, WrapErr};

/// Pause between two looks whether a process has ended, milliseconds.
const LOOK_MS: u64 = 50;

/// One process of the fleet.
#[derive(Debug)]
pub struct FleetProcess {
    /// Its name.
    pub name: String,
    /// Its HTTP address.
    pub http: SocketAddr,
    /// Its mail address; the HTTP address for a stand-in.
    pub mail: SocketAddr,
    child: Child,
}

impl FleetProcess {
    /// Sends the process a signal, by its own id.
    ///
    /// # Errors
    ///
    /// When the `kill` command fails.
    pub fn signal(&self, signal: &str) -> eyre::Result<()> {
        let status = Command::new("kill")
            .args([format!("-{signal}"), self.child.id().to_string()])
            .status()?;
        ensure!(status.success(), "could not signal {}", self.name);
        Ok(())
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    ///
    /// When it cannot be killed.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Waits for the process to end by itself. Returns its exit code.
    ///
    /// # Errors
    ///
    /// When it does not end in time.
    pub fn wait(&mut self, limit: Duration) -> eyre::Result<i32> {
        let began = Instant::now();
        while began.elapsed() < limit {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.code().unwrap_or(-1));
            }
            std::thread::sleep(Duration::from_millis(LOOK_MS));
        }
        Err(eyre!("{} has not ended in {limit:?}", self.name))
    }

    /// Whether the process has ended.
    ///
    /// # Errors
    ///
    /// When that cannot be told.
    pub fn has_ended(&mut self) -> eyre::Result<bool> {
        Ok(self.child.try_wait()?.is_some())
    }

    /// The id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// First port given out: below the range from which systems take ports for connections, so that
/// no connection takes one before its process listens.
const FIRST_PORT: u16 = 20_000;
/// Ports given out at most.
const PORTS: u16 = 12_000;

/// Held while a port is tried and while a process is forked: a child holds its parent's sockets
/// until it runs its program, so that a port tried meanwhile would still be in use.
fn no_fork() -> MutexGuard<'static, ()> {
    static FORK: Mutex<()> = Mutex::new(());
    FORK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A loopback address that nobody listens on, given out once.
///
/// # Errors
///
/// When there is none left.
pub fn free_address() -> eyre::Result<SocketAddr> {
    static GIVEN: AtomicU16 = AtomicU16::new(0);
    // Fleets of two drivers at once begin at different places.
    let offset = u16::try_from(std::process::id() % 97).unwrap_or(0) * (PORTS / 97);
    loop {
        let given = GIVEN.fetch_add(1, Ordering::Relaxed);
        ensure!(given < PORTS, "no port is left");
        let port = FIRST_PORT + (offset + given) % PORTS;
        let _alone = no_fork();
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return Ok(listener.local_addr()?);
        }
    }
}

/// The folder of the built programs.
fn program_folder() -> eyre::Result<PathBuf> {
    let this = std::env::current_exe()?;
    let folder = this.parent().ok_or_else(|| eyre!("no folder"))?;
    // Test programs stand one folder deeper.
    Ok(match folder.file_name().and_then(|name| name.to_str()) {
        Some("deps") => folder.parent().unwrap_or(folder).to_path_buf(),
        _ => folder.to_path_buf(),
    })
}

/// Starts a stand-in.
pub(crate) fn start_process(
    logs: &Path,
    program: &str,
    name: &str,
    http: SocketAddr,
    mail: SocketAddr,
    args: &[(&str, String)],
) -> eyre::Result<FleetProcess> {
    let mut command = Command::new(program_folder()?.join(program));
    command.arg("--address").arg(http.to_string());
    spawn(command, logs, name, http, mail, args)
}

/// Starts the product in a role.
pub(crate) fn start_lynxcart(
    logs: &Path,
    name: &str,
    role: &str,
    http: SocketAddr,
    mail: SocketAddr,
    args: &[(&str, String)],
) -> eyre::Result<FleetProcess> {
    let mut command = Command::new(program_folder()?.join("lynxcart"));
    command.arg(role).env("LYNXCART_KEYS", "fleet-secret");
    spawn(command, logs, name, http, mail, args)
}

fn spawn(
    mut command: Command,
    logs: &Path,
    name: &str,
    http: SocketAddr,
    mail: SocketAddr,
    args: &[(&str, String)],
) -> eyre::Result<FleetProcess> {
    let log = std::fs::File::create(logs.join(format!("{name}.log")))?;
    for (flag, value) in args {
        command.arg(flag).arg(value);
    }
    let alone = no_fork();
    let child = command
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
        .wrap_err_with(|| format!("could not start {name}"))?;
    drop(alone);
    Ok(FleetProcess {
        name: name.to_owned(),
        http,
        mail,
        child,
    })
}
