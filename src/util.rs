//! Hashes used by several modules: of idempotency keys and addresses, and rendezvous hashing.

/// Returns the journal partition to which a team's idempotency key belongs.
pub fn key_partition(team: &str, key: &str, partition_count: u32) -> u32 {
    let hash = key_hash(team, key);
    let prefix = u32::from_le_bytes([hash[0], hash[1], hash[2], hash[3]]);
    prefix % partition_count.max(1)
}

/// Returns the 128-bit hash under which a team's idempotency key is recorded in the journal.
pub fn key_hash(team: &str, key: &str) -> [u8; 16] {
    let mut hasher = blake3::Hasher::new_derive_key("lynxcart 2026-12 idempotency key");
    hasher.update(&u64::try_from(team.len()).unwrap_or(u64::MAX).to_le_bytes());
    hasher.update(team.as_bytes());
    hasher.update(key.as_bytes());
    let mut hash = [0; 16];
    hasher.finalize_xof().fill(&mut hash);
    hash
}

/// Returns the weight of `node` for `subject` in rendezvous hashing (highest random weight). All
/// processes that know the same nodes rank them alike, and a node that joins or leaves changes the
/// choice only for the subjects that it gains or loses.
pub fn rendezvous_weight(subject: &str, node: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(subject.as_bytes());
    hasher.update(&[0]);
    hasher.update(node.as_bytes());
    let hash = hasher.finalize();
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(prefix)
}

/// Returns the `count` nodes with the highest weight for `subject`, in descending order of weight.
pub fn rendezvous_pick<'a>(subject: &str, nodes: &'a [String], count: usize) -> Vec<&'a str> {
    let mut ranked: Vec<&str> = nodes.iter().map(String::as_str).collect();
    ranked.sort_by_key(|node| std::cmp::Reverse(rendezvous_weight(subject, node)));
    ranked.truncate(count);
    ranked
}

/// Assigns the subjects `subject/0` to `subject/{count - 1}` to nodes and returns the node of each.
/// No node gets more than `count` divided by the number of nodes, rounded up: each subject goes to
/// the node with the highest weight among those below this limit.
pub fn rendezvous_assign<'a>(subject: &str, count: u32, nodes: &'a [String]) -> Vec<&'a str> {
    let max_per_node = (count as usize).div_ceil(nodes.len().max(1));
    let mut assigned = vec![0; nodes.len()];
    let mut owners = Vec::new();
    for number in 0..count {
        let subject = format!("{subject}/{number}");
        let candidates = (0..nodes.len()).filter(|index| assigned[*index] < max_per_node);
        let best = candidates.max_by_key(|index| rendezvous_weight(&subject, &nodes[*index]));
        if let Some(index) = best {
            assigned[index] += 1;
            owners.push(nodes[index].as_str());
        }
    }
    owners
}

/// Returns a hash of a list of addresses that does not depend on their order.
pub fn addresses_hash(addresses: &[String]) -> u64 {
    let hashes = addresses
        .iter()
        .map(|address| rendezvous_weight("", address));
    hashes.fold(0, |combined, hash| combined ^ hash)
}
