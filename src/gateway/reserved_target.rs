//! A target whose capacity is freed unless an attempt takes it over.

use std::sync::Arc;

use crate::gateway::run::Gateway;
use crate::gateway::state::SendTarget;

/// A target that was chosen for a request and is not in use yet. Dropping it frees the capacity
/// reserved for it, also if the caller leaves meanwhile.
#[derive(Debug)]
pub struct ReservedTarget {
    gateway: Arc<Gateway>,
    target: Option<SendTarget>,
}

impl ReservedTarget {
    /// Takes over the reservations of a target.
    pub fn new(gateway: &Arc<Gateway>, target: SendTarget) -> ReservedTarget {
        ReservedTarget {
            gateway: gateway.clone(),
            target: Some(target),
        }
    }

    /// The target.
    pub fn get(&self) -> &SendTarget {
        let target = self.target.as_ref();
        target.expect("the target is there until it is taken")
    }

    /// Returns the target, whose reservations are the caller's from now on.
    pub fn take(mut self) -> SendTarget {
        let target = self.target.take();
        target.expect("the target is there until it is taken")
    }
}

impl Drop for ReservedTarget {
    fn drop(&mut self) {
        if let Some(target) = self.target.take() {
            self.gateway.state().release(&target);
        }
    }
}
