//! An allocator that counts the bytes in use, to measure the memory of decision code.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

static IN_USE: AtomicUsize = AtomicUsize::new(0);

/// The system's allocator with a count.
#[derive(Debug)]
pub struct CountingHeap;

// SAFETY: every call goes to the system's allocator as it came; the count touches no memory.
unsafe impl GlobalAlloc for CountingHeap {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        IN_USE.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        IN_USE.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

/// Bytes in use.
pub fn bytes_in_use() -> usize {
    IN_USE.load(Ordering::Relaxed)
}
