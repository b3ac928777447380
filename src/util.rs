//! Small helpers that several duties share.

/// The journal partition of a team's idempotency key.
pub fn key_partition(team: &str, key: &str, partition_count: u32) -> u32 {
    let hash = key_hash(team, key);
    let low = u32::from_le_bytes([hash[0], hash[1], hash[2], hash[3]]);
    low % partition_count.max(1)
}

/// The 128-bit hash under which a team's idempotency key is journaled.
pub fn key_hash(team: &str, key: &str) -> [u8; 16] {
    let mut hasher = blake3::Hasher::new_derive_key("lynxcart 2026-12 idempotency key");
    hasher.update(&u64::try_from(team.len()).unwrap_or(u64::MAX).to_le_bytes());
    hasher.update(team.as_bytes());
    hasher.update(key.as_bytes());
    let mut hash = [0; 16];
    hasher.finalize_xof().fill(&mut hash);
    hash
}

/// Rank of `node` for `subject` by highest random weight: every process that knows the same
/// nodes finds the same order, and a node that comes or goes moves only its own share.
pub fn rendezvous_weight(subject: &str, node: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(subject.as_bytes());
    hasher.update(&[0]);
    hasher.update(node.as_bytes());
    let hash = hasher.finalize();
    let mut low = [0; 8];
    low.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(low)
}

/// The `count` nodes with the highest weight for `subject`, highest first.
pub fn rendezvous_pick<'a>(subject: &str, nodes: &'a [String], count: usize) -> Vec<&'a str> {
    let mut ranked: Vec<&str> = nodes.iter().map(String::as_str).collect();
    ranked.sort_by_key(|node| std::cmp::Reverse(rendezvous_weight(subject, node)));
    ranked.truncate(count);
    ranked
}

/// Shares `count` numbered subjects out over nodes, none of which gets more than its equal part
/// rounded up: each subject goes to the node with the highest weight that has room.
pub fn rendezvous_share<'a>(subject: &str, count: u32, nodes: &'a [String]) -> Vec<&'a str> {
    let most = (count as usize).div_ceil(nodes.len().max(1));
    let mut taken = vec![0; nodes.len()];
    let mut owners = Vec::new();
    for number in 0..count {
        let subject = format!("{subject}/{number}");
        let free = (0..nodes.len()).filter(|index| taken[*index] < most);
        let best = free.max_by_key(|index| rendezvous_weight(&subject, &nodes[*index]));
        if let Some(index) = best {
            taken[index] += 1;
            owners.push(nodes[index].as_str());
        }
    }
    owners
}

/// Hash of a list of addresses, whatever their order.
pub fn addresses_hash(addresses: &[String]) -> u64 {
    let hashes = addresses
        .iter()
        .map(|address| rendezvous_weight("", address));
    hashes.fold(0, |sum, hash| sum ^ hash)
}
