//! Finds the functions of the C library that this library interposes.

/// Returns the address of the function with this name in the libraries loaded after this one, which
/// is the function that this library interposes.
pub(crate) fn address_of(name: &std::ffi::CStr) -> usize {
    // SAFETY: `name` is a valid C string, and `dlsym` accepts any symbol name.
    unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) as usize }
}

/// Evaluates to the C library function with this name, as this function type. The address is looked
/// up only once.
macro_rules! next_function {
    ($name:literal, $type:ty) => {{
        static ADDRESS: std::sync::OnceLock<usize> = std::sync::OnceLock::new();
        let address = *ADDRESS.get_or_init(|| crate::next_function::address_of($name));
        // SAFETY: the C library has a function with this name and signature.
        unsafe { std::mem::transmute::<usize, $type>(address) }
    }};
}

pub(crate) use next_function;
