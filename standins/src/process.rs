//! Processes of a fleet: each gets its own port and is killed when its handle is dropped.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use eyre::{ensure, eyre, WrapErr};

/// Interval of the checks whether a process has exited, in milliseconds.
const EXIT_POLL_MS: u64 = 50;

/// Handle of a running process. Dropping it kills the process and waits for its exit.
#[derive(Debug)]
pub struct FleetProcess {
    /// Name of the process, unique in its fleet or site. Its log file is `{name}.log`.
    pub name: String,
    /// Address of the process's HTTP server.
    pub http_address: SocketAddr,
    /// Address for messages between processes; equals `http_address` for a stand-in.
    pub message_address: SocketAddr,
    child: Child,
}

impl FleetProcess {
    /// Sends a signal, such as `TERM`, to the process and to no other.
    ///
    /// # Errors
    ///
    /// If the `kill` command fails.
    pub fn signal(&self, signal: &str) -> eyre::Result<()> {
        let status = Command::new("kill")
            .args([format!("-{signal}"), self.child.id().to_string()])
            .status()?;
        ensure!(
            status.success(),
            "could not send signal {signal} to {}",
            self.name
        );
        Ok(())
    }

    /// Kills the process with SIGKILL and waits for its exit.
    ///
    /// # Errors
    ///
    /// If the process cannot be killed or its exit status cannot be read.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Waits until the process exits, without killing it. Returns its exit code, or -1 if a signal
    /// ended it.
    ///
    /// # Errors
    ///
    /// If the process does not exit within `limit`, or its status cannot be read.
    pub fn wait_for_exit(&mut self, limit: Duration) -> eyre::Result<i32> {
        let started_at = Instant::now();
        while started_at.elapsed() < limit {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.code().unwrap_or(-1));
            }
            std::thread::sleep(Duration::from_millis(EXIT_POLL_MS));
        }
        Err(eyre!("{} did not exit within {limit:?}", self.name))
    }

    /// Whether the process has exited.
    ///
    /// # Errors
    ///
    /// If its status cannot be read.
    pub fn has_exited(&mut self) -> eyre::Result<bool> {
        Ok(self.child.try_wait()?.is_some())
    }

    /// Returns the operating system's id of the process.
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

/// Lowest port to allocate. The allocated ports lie below the system's range of ephemeral ports,
/// so that no outgoing connection takes one before its process listens.
const FIRST_PORT: u16 = 20_000;
/// Number of ports from [`FIRST_PORT`] on that a test or benchmark process can allocate.
const PORT_COUNT: u16 = 12_000;
/// Loopback address at which a process holds the ports that it has allocated.
const CLAIM_HOST: &str = "127.0.0.2";

/// Acquires the lock that is held while a port is probed and while a process is started, so that
/// the two never overlap.
///
/// A forked child inherits the parent's sockets until it executes its program. A port probed in
/// that time would stay in use after the probe has closed it.
fn lock_fork() -> MutexGuard<'static, ()> {
    static FORK_LOCK: Mutex<()> = Mutex::new(());
    FORK_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Allocates a loopback address that nothing listens on. Each address is returned only once.
///
/// # Errors
///
/// If none of the ports that are left is free.
pub fn free_address() -> eyre::Result<SocketAddr> {
    static NEXT_INDEX: AtomicU16 = AtomicU16::new(0);
    static CLAIMS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());
    // Processes that allocate ports at the same time usually start at different ones. A port in use
    // is skipped, and so is one that another process has allocated and not bound yet.
    let offset = u16::try_from(std::process::id() % 97).unwrap_or(0) * (PORT_COUNT / 97);
    loop {
        let index = NEXT_INDEX.fetch_add(1, Ordering::Relaxed);
        ensure!(
            index < PORT_COUNT,
            "no free port left among the {PORT_COUNT} ports from {FIRST_PORT} on"
        );
        let port = FIRST_PORT + (offset + index) % PORT_COUNT;
        let _guard = lock_fork();
        let Ok(claim) = TcpListener::bind((CLAIM_HOST, port)) else {
            continue;
        };
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            let mut claims = CLAIMS.lock().unwrap_or_else(PoisonError::into_inner);
            claims.push(claim);
            return Ok(listener.local_addr()?);
        }
    }
}

/// Returns the directory of the built programs.
fn program_directory() -> eyre::Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let directory = executable
        .parent()
        .ok_or_else(|| eyre!("{executable:?} has no parent directory"))?;
    // Cargo places test programs in `deps`, one directory below the other programs.
    Ok(match directory.file_name().and_then(|name| name.to_str()) {
        Some("deps") => directory.parent().unwrap_or(directory).to_path_buf(),
        _ => directory.to_path_buf(),
    })
}

/// Starts a stand-in program that listens on `http_address`.
pub(crate) fn start_stand_in(
    log_dir: &Path,
    program: &str,
    name: &str,
    http_address: SocketAddr,
    message_address: SocketAddr,
    args: &[(&str, String)],
) -> eyre::Result<FleetProcess> {
    let mut command = Command::new(program_directory()?.join(program));
    command.arg("--address").arg(http_address.to_string());
    spawn_process(command, log_dir, name, http_address, message_address, args)
}

/// Starts lynxcart with the subcommand `role` and, beside flags, settings as environment variables.
pub(crate) fn start_lynxcart(
    log_dir: &Path,
    name: &str,
    role: &str,
    http_address: SocketAddr,
    message_address: SocketAddr,
    args: &[(&str, String)],
    settings: &[(&'static str, String)],
) -> eyre::Result<FleetProcess> {
    let mut command = Command::new(program_directory()?.join("lynxcart"));
    command.arg(role).env("LYNXCART_KEYS", "fleet-secret");
    for (variable, value) in settings {
        command.env(variable, value);
    }
    spawn_process(command, log_dir, name, http_address, message_address, args)
}

fn spawn_process(
    mut command: Command,
    log_dir: &Path,
    name: &str,
    http_address: SocketAddr,
    message_address: SocketAddr,
    args: &[(&str, String)],
) -> eyre::Result<FleetProcess> {
    let log_file = std::fs::File::create(log_dir.join(format!("{name}.log")))?;
    for (flag, value) in args {
        command.arg(flag).arg(value);
    }
    let guard = lock_fork();
    let child = command
        .stdin(Stdio::null())
        .stdout(log_file.try_clone()?)
        .stderr(log_file)
        .spawn()
        .wrap_err_with(|| format!("could not start {name}"))?;
    drop(guard);
    Ok(FleetProcess {
        name: name.to_owned(),
        http_address,
        message_address,
        child,
    })
}
