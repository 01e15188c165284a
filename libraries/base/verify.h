// SPDX-License-Identifier: BSD-2-Clause
#pragma once

namespace postpaddle::base {

/// Reports a broken invariant on standard error and aborts the process.
[[noreturn]] void verification_failed(const char* expression, const char* file, int line);

} // namespace postpaddle::base

/// Aborts when an invariant of our own is broken. Never used on input.
#define POSTPADDLE_VERIFY(expression)                                                                        \
    do {                                                                                                     \
        if (!(expression))                                                                                   \
            ::postpaddle::base::verification_failed(#expression, __FILE__, __LINE__);                        \
    } while (false)
