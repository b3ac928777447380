//! Answers that end before they are whole, for replicas that write their answers by hand.

use std::io;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// How a replica ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// It closes the connection.
    Closed,
    /// It resets the connection.
    Reset,
}

/// A text that is written in place of an answer, after which the connection ends.
#[derive(Clone, Copy, Debug)]
pub struct CutAnswer {
    /// The text, in which `{id}` stands for the id of the request.
    pub text: &'static str,
    /// How the connection ends.
    pub end: ConnectionEnd,
}

/// Answers that are cut for some requests only.
#[derive(Clone, Copy, Debug)]
pub struct CutTable(pub &'static [CutAnswer]);

impl CutTable {
    /// Id of a request that gets the answer with this index.
    pub fn request_id(index: usize, name: &str) -> String {
        format!("cut-{index}-{name}")
    }

    /// The answer to a request; `None` for a whole one.
    pub(crate) fn answer(self, id: &str) -> Option<CutAnswer> {
        let (index, _) = id.strip_prefix("cut-")?.split_once('-')?;
        self.0.get(index.parse::<usize>().ok()?).copied()
    }
}

impl CutAnswer {
    /// Writes the text and ends the connection, so that the result is always an error.
    pub(crate) async fn write(self, stream: &mut TcpStream, id: &str) -> io::Result<()> {
        let text = self.text.replace("{id}", id);
        stream.write_all(text.as_bytes()).await?;
        if self.end == ConnectionEnd::Reset {
            // The text has to arrive before the reset discards it.
            tokio::time::sleep(Duration::from_millis(20)).await;
            stream.set_zero_linger()?;
        }
        Err(io::ErrorKind::ConnectionAborted.into())
    }
}
