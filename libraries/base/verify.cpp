// SPDX-License-Identifier: BSD-2-Clause
#include <base/verify.h>

#include <cstdlib>
#include <iostream>

namespace postpaddle::base {

void verification_failed(const char* expression, const char* file, int line) {
    std::cerr << file << ':' << line << ": verification failed: " << expression << std::endl;
    std::abort();
}

} // namespace postpaddle::base
