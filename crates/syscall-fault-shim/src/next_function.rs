//! Finds the functions of the C library that this library interposes.

/// The address of the next function of a name behind this library.
pub(crate) fn address_of(name: &std::ffi::CStr) -> usize {
    // SAFETY: the name is a C string; the address is that of the function that is interposed.
    unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) as usize }
}

/// The function of the C library of this name, with this type. It is looked up once.
macro_rules! next_function {
    ($name:literal, $type:ty) => {{
        static ADDRESS: std::sync::OnceLock<usize> = std::sync::OnceLock::new();
        let address = *ADDRESS.get_or_init(|| crate::next_function::address_of($name));
        // SAFETY: the C library has the function, with this signature.
        unsafe { std::mem::transmute::<usize, $type>(address) }
    }};
}

pub(crate) use next_function;
