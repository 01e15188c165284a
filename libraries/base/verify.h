// SPDX-License-Identifier: BSD-2-Clause
#pragma once

namespace postpaddle::base {

/// Prints the failed expression to standard error and aborts the process.
[[noreturn]] void verification_failed(const char* expression, const char* file, int line);

} // namespace postpaddle::base

/// Aborts if an internal invariant does not hold. Must not be used to validate input.
#define POSTPADDLE_VERIFY(expression)                                                                        \
    do {                                                                                                     \
        if (!(expression))                                                                                   \
            ::postpaddle::base::verification_failed(#expression, __FILE__, __LINE__);                        \
    } while (false)
