//! The functions of the C library that this library interposes.

use std::ffi::CStr;

use libc::{c_char, c_int, c_void, mode_t, size_t, sockaddr, socklen_t, ssize_t, timespec};

use crate::faults::{fail_with, shorten, should_fail, ClockGettime};
use crate::next_function::next_function;
use crate::plan::fault_plan;

type Accept = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
type EpollWait = unsafe extern "C" fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int;
type Recv = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
type Open = unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int;

/// Suffix of the paths that can fail to open. The router's configuration file has it.
const FAILING_FILE_SUFFIX: &[u8] = b".json";

/// Interposes `clock_gettime(2)`.
///
/// # Safety
/// The caller must meet the requirements of the C library function.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: c_int, time: *mut timespec) -> c_int {
    let result = next_function!(c"clock_gettime", ClockGettime)(clock, time);
    let is_wall_clock = clock == libc::CLOCK_REALTIME || clock == libc::CLOCK_REALTIME_COARSE;
    if result == 0 && is_wall_clock {
        (*time).tv_sec += fault_plan().clock_step_s;
    }
    result
}

/// Interposes `accept4(2)`.
///
/// # Safety
/// The caller must meet the requirements of the C library function.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if fault_plan().accept && should_fail() {
        return fail_with(&[
            libc::ECONNABORTED,
            libc::ENFILE,
            libc::EMFILE,
            libc::ENOBUFS,
        ]);
    }
    next_function!(c"accept4", Accept)(socket, address, length, flags)
}

/// Interposes `connect(2)`.
///
/// # Safety
/// The caller must meet the requirements of the C library function.
#[no_mangle]
pub unsafe extern "C" fn connect(
    socket: c_int,
    address: *const sockaddr,
    length: socklen_t,
) -> c_int {
    if fault_plan().connect && should_fail() {
        return fail_with(&[
            libc::EADDRNOTAVAIL,
            libc::ENETUNREACH,
            libc::ENOBUFS,
            libc::EHOSTUNREACH,
        ]);
    }
    next_function!(c"connect", Connect)(socket, address, length)
}

/// Interposes `socket(2)`.
///
/// # Safety
/// The caller must meet the requirements of the C library function.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if fault_plan().socket && should_fail() {
        return fail_with(&[libc::ENFILE, libc::EMFILE, libc::ENOBUFS]);
    }
    next_function!(c"socket", Socket)(domain, kind, protocol)
}

/// Interposes `epoll_wait(2)`.
///
/// # Safety
/// The caller must meet the requirements of the C library function.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut libc::epoll_event,
    capacity: c_int,
    timeout: c_int,
) -> c_int {
    if fault_plan().wait && should_fail() {
        return fail_with(&[libc::EINTR]);
    }
    next_function!(c"epoll_wait", EpollWait)(epoll, events, capacity, timeout)
}

/// Interposes `recv(2)`.
///
/// # Safety
/// The caller must meet the requirements of the C library function.
#[no_mangle]
pub unsafe extern "C" fn recv(
    socket: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    next_function!(c"recv", Recv)(socket, buffer, shorten(length), flags)
}

/// Interposes `send(2)`.
///
/// # Safety
/// The caller must meet the requirements of the C library function.
#[no_mangle]
pub unsafe extern "C" fn send(
    socket: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    next_function!(c"send", Send)(socket, buffer, shorten(length), flags)
}

/// Interposes `open(2)`. Only the configuration file can fail to open.
///
/// # Safety
/// The caller must meet the requirements of the C library function.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let path_text = CStr::from_ptr(path).to_bytes();
    if fault_plan().file && path_text.ends_with(FAILING_FILE_SUFFIX) && should_fail() {
        return fail_with(&[libc::EIO, libc::ENFILE, libc::EINTR]);
    }
    next_function!(c"open64", Open)(path, flags, mode)
}
