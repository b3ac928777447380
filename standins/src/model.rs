//! Deterministic model that the stand-in engines run.
//!
//! Each layer keeps a state per sequence, and every token depends on the states of all layers. A
//! layer that is skipped, run twice, run out of order or given the input of another request
//! changes the answer.

/// Words from which the texts of tokens are formed: one of them, then the id of the token.
const WORDS: [&str; 16] = [
    "oak", "pine", "beech", "volume", "claim", "mill", "note", "species", "log", "batch", "truck",
    "permit", "grade", "lot", "seal", "stamp",
];

/// State of a layer for one sequence.
pub type LayerState = [u8; 32];

/// Runs a layer for one position: updates its state and returns its output.
pub fn run_layer(model: &str, layer: u32, state: &mut LayerState, input: &[u8]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(model.as_bytes());
    hasher.update(&layer.to_le_bytes());
    hasher.update(state);
    hasher.update(input);
    *state = *hasher.finalize().as_bytes();
    *state
}

/// Decodes the output of the last layer, of at least 4 bytes. Returns the id of the token and its
/// text.
pub fn decode_token(activation: &[u8]) -> (u32, String) {
    let mut id_bytes = [0; 4];
    id_bytes.copy_from_slice(&activation[..4]);
    let id = u32::from_le_bytes(id_bytes) % 100_000;
    let word = WORDS[(id % 16) as usize];
    (id, format!("{word}{id} "))
}

/// Computes the complete answer to a prompt without an engine, for comparison in tests.
pub fn expected_answer(model: &str, layers: u32, prompt: &str, tokens: u32) -> String {
    let mut states = vec![[0; 32]; layers as usize];
    let mut input = prompt.as_bytes().to_vec();
    let mut answer = String::new();
    for _ in 0..tokens {
        let mut activation = input;
        for (layer, state) in (0..).zip(&mut states) {
            activation = run_layer(model, layer, state, &activation).to_vec();
        }
        let (id, text) = decode_token(&activation);
        answer.push_str(&text);
        input = id.to_le_bytes().to_vec();
    }
    answer
}
