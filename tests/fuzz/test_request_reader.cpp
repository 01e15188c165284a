// SPDX-License-Identifier: BSD-2-Clause
// Guards against bytes of a caller that end the process, or of which more is held than its bound. A short,
// seeded run; meta/fuzz runs the same reader under libFuzzer.
#include <fuzz/request_reader.h>

#include <catch2/catch.hpp>

#include <array>
#include <random>
#include <string>
#include <vector>

using namespace postpaddle;

namespace {

constexpr int inputs = 1'500;

std::string random_bytes(std::mt19937_64& random, std::size_t count) {
    std::string text;
    for (std::size_t index = 0; index < count; ++index)
        text += static_cast<char>(random() % 256);
    return text;
}

/// Bytes of parts of requests in any order, at times repeated, and some that are changed.
std::string make_input(std::mt19937_64& random) {
    static const std::array<std::string, 18> parts = {
        "POST / HTTP/1.1\r\nHost: host\r\n",
        "GET /path?query HTTP/1.1\r\n",
        "Transfer-Encoding: chunked\r\n",
        "Content-Length: 10\r\n",
        "Content-Length: 99999999999999999999\r\n",
        "Expect: 100-continue\r\n",
        "Connection: close\r\n",
        "X-Field: " + std::string(200, 'x') + "\r\n",
        "\r\n",
        "1\r\nx\r\n",
        "10\r\n0123456789abcdef\r\n",
        "ffffffffffffffff\r\n",
        "1;extension=" + std::string(200, 'x') + "\r\nx\r\n",
        "0\r\n",
        "0\r\nX-Trailer: value\r\n\r\n",
        "0123456789",
        "POST / HTTP/1.1\r\nHost: host\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: host\r\nContent-Length: 10\r\n\r\n0123456789",
    };
    std::string text;
    for (std::size_t count = 1 + random() % 12; count > 0; --count) {
        const std::string& part = parts.at(random() % parts.size());
        for (std::size_t times = random() % 4 == 0 ? random() % 100 : 1; times > 0; --times)
            text += part;
    }
    for (std::size_t changes = random() % 4; changes > 0 && !text.empty(); --changes)
        text[random() % text.size()] = static_cast<char>(random() % 256);
    if (random() % 8 == 0)
        text += random_bytes(random, random() % 5'000);
    return text;
}

} // namespace

TEST_CASE("any bytes in any parts end no process and hold no more than their bound") {
    std::mt19937_64 random(1);
    int requests = 0;
    for (int number = 0; number < inputs; ++number) {
        const std::string input = make_input(random);
        const std::size_t part_bytes = 1 + random() % (random() % 4 == 0 ? 5'000 : 40);
        const std::vector<std::uint8_t> bytes(input.begin(), input.end());
        const auto result = fuzz::read_untrusted_bytes(bytes, part_bytes);
        CAPTURE(number, part_bytes);
        CHECK(result.violation.empty());
        requests += result.requests;
    }
    // A run that reads nothing whole proves little.
    CHECK(requests > inputs / 10);
}
