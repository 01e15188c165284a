// SPDX-License-Identifier: BSD-2-Clause
#include <base/hashing.h>

#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace postpaddle::base {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string sha256_hex(std::string_view bytes) {
    static constexpr std::string_view digits = "0123456789abcdef";
    static constexpr unsigned nibble_bits = 4;
    static constexpr unsigned nibble_mask = 0xF;
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data());
    std::string text;
    text.reserve(digest.size() * 2);
    for (const unsigned char byte : digest) {
        text += digits[byte >> nibble_bits];
        text += digits[byte & nibble_mask];
    }
    return text;
}

} // namespace postpaddle::base
