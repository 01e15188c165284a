// SPDX-License-Identifier: BSD-2-Clause
// Entry point of libFuzzer; see meta/fuzz.
#include <fuzz/request_reader.h>

#include <cstdio>
#include <cstdlib>

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer's own name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size < 2)
        return 0;
    const std::size_t part_bytes = data[0] * 16UL + data[1] % 16;
    const auto result = postpaddle::fuzz::read_untrusted_bytes({data + 2, size - 2}, part_bytes);
    if (!result.violation.empty()) {
        std::fprintf(stderr, "%s\n", result.violation.c_str());
        std::abort();
    }
    return 0;
}
