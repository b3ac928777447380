//! The model that engines pretend to run.
//!
//! Each layer keeps a state per sequence, and every token depends on all of them: a layer that
//! is skipped, doubled, swapped or fed another request gives a different answer.

/// Words that tokens stand for.
const WORDS: [&str; 16] = [
    "oak", "pine", "beech", "volume", "claim", "mill", "note", "species", "log", "batch", "truck",
    "permit", "grade", "lot", "seal", "stamp",
];

/// State of one layer for one sequence.
pub type LayerState = [u8; 32];

/// Runs one layer for one position: changes its state and gives its output.
pub fn run_layer(model: &str, layer: u32, state: &mut LayerState, input: &[u8]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(model.as_bytes());
    hasher.update(&layer.to_le_bytes());
    hasher.update(state);
    hasher.update(input);
    *state = *hasher.finalize().as_bytes();
    *state
}

/// The token that the last layer's output stands for, and its text.
pub fn token_of(activation: &[u8]) -> (u32, String) {
    let mut low = [0; 4];
    low.copy_from_slice(&activation[..4]);
    let id = u32::from_le_bytes(low) % 100_000;
    let word = WORDS[(id % 16) as usize];
    (id, format!("{word}{id} "))
}

/// The whole answer to a prompt, worked out without any engine.
pub fn expected_answer(model: &str, layers: u32, prompt: &str, tokens: u32) -> String {
    let mut states = vec![[0; 32]; layers as usize];
    let mut input = prompt.as_bytes().to_vec();
    let mut answer = String::new();
    for _ in 0..tokens {
        let mut activation = input;
        for (layer, state) in (0..).zip(&mut states) {
            activation = run_layer(model, layer, state, &activation).to_vec();
        }
        let (id, text) = token_of(&activation);
        answer.push_str(&text);
        input = id.to_le_bytes().to_vec();
    }
    answer
}
