// SPDX-License-Identifier: BSD-2-Clause
#include <base/compression.h>

#include <catch2/catch.hpp>

#include <random>

using namespace postpaddle;

namespace {

constexpr std::size_t max_bytes = 4UL * 1024 * 1024;

/// Settings text with many similar routes.
std::string make_text(int routes) {
    std::string text;
    for (int route = 0; route < routes; ++route)
        text += R"({"name":"route-)" + std::to_string(route) + R"(","kind":"idempotent","timeoutMs":5000},)";
    return text;
}

} // namespace

TEST_CASE("compressed text round-trips, and text with many similar routes shrinks") {
    for (const int routes : {0, 1, 100, 20'000}) {
        const std::string text = make_text(routes);
        const std::string compressed = base::compress(text);
        CHECK(base::decompress(compressed, max_bytes) == text);
        if (routes >= 100)
            CHECK(compressed.size() < text.size() / 5);
    }
}

TEST_CASE("truncated, corrupted or uncompressed input is rejected, and the output size is bounded") {
    const std::string compressed = base::compress(make_text(1'000));
    for (std::size_t size = 0; size < compressed.size(); size += 97)
        CHECK_FALSE(base::decompress(compressed.substr(0, size), max_bytes));
    std::mt19937 random(5);
    for (int round = 0; round < 200; ++round) {
        std::string corrupted = compressed;
        const auto mask = static_cast<int>(1 + random() % 255);
        char& byte = corrupted[random() % corrupted.size()];
        byte = static_cast<char>(byte ^ mask);
        const auto text = base::decompress(corrupted, max_bytes);
        if (text)
            CHECK(*text == make_text(1'000));
    }
    CHECK_FALSE(base::decompress("{\"version\":3}", max_bytes));
    CHECK_FALSE(base::decompress(base::compress(std::string(max_bytes + 1, 'x')), max_bytes));
    CHECK(base::decompress(base::compress(std::string(max_bytes, 'x')), max_bytes));
}
