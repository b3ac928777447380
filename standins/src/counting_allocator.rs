//! Allocator that counts the allocated bytes, to measure the memory use of decision code.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);

/// The system's allocator, with a count of the allocated bytes.
#[derive(Debug)]
pub struct CountingAllocator;

// SAFETY: `alloc` and `dealloc` are forwarded unchanged to the system's allocator, and the trait's
// other methods call these two. Counting accesses no allocated memory.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

/// Returns the number of bytes that are allocated now in the whole process.
pub fn allocated_bytes() -> usize {
    ALLOCATED_BYTES.load(Ordering::Relaxed)
}
