//! Bytes without an end in place of answers, for replicas that write their answers by hand.

use crate::raw::stream_head;

/// Bytes without an end that are no answer, written until the caller closes the connection.
#[derive(Clone, Copy, Debug)]
pub enum Flood {
    /// One line of a response head.
    HeaderLine,
    /// Lines of a response head.
    Headers,
    /// Heads of responses that only announce another one.
    InformationalHeads,
    /// A body that ends with its connection.
    Body,
    /// A body in chunks.
    ChunkedBody,
    /// The extension of a chunk's length.
    ChunkExtension,
    /// An event of a stream.
    Event,
    /// Comments of a stream, which are no events.
    Comments,
}

impl Flood {
    /// The text before the flood, and the text that is repeated without an end.
    pub(crate) fn texts(self, id: &str) -> (String, String) {
        let status = "HTTP/1.1 200 OK\r\n";
        let known = format!("x-attempt-id: {id}\r\nx-replica-stamp: stamp\r\n");
        let filler = "x".repeat(4_000);
        let chunk = |data: &str| format!("{:x}\r\n{data}\r\n", data.len());
        match self {
            Flood::HeaderLine => (format!("{status}x-line: "), filler),
            Flood::Headers => (status.to_owned(), "x-line: some value\r\n".repeat(200)),
            Flood::InformationalHeads => (String::new(), "HTTP/1.1 103 Early\r\n\r\n".repeat(200)),
            Flood::Body => (format!("{status}{known}\r\n"), filler),
            Flood::ChunkedBody => (stream_head(id), chunk(&filler)),
            Flood::ChunkExtension => (format!("{}5;x=", stream_head(id)), filler),
            Flood::Event => {
                let start = format!("{}{}", stream_head(id), chunk("id: 1\ndata: "));
                (start, chunk(&filler))
            }
            Flood::Comments => (stream_head(id), chunk(&": x\n\n".repeat(800))),
        }
    }
}
