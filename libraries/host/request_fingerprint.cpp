// SPDX-License-Identifier: BSD-2-Clause
#include <host/request_fingerprint.h>

#include <base/hashing.h>

#include <charconv>
#include <initializer_list>

namespace postpaddle::host {

namespace {

constexpr int hexadecimal = 16;
/// Hexadecimal digits of each half.
constexpr std::size_t half_digits = 16;

std::optional<std::uint64_t> parse_half(std::string_view text) {
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, hexadecimal);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace

request_fingerprint fingerprint_of(const fingerprint_parts& parts) {
    std::string joined;
    // Each part is prefixed with its length, so that different lists of parts never join to the same text.
    for (const std::string_view part : {parts.caller, parts.host, parts.method, parts.target}) {
        joined += std::to_string(part.size());
        joined += ':';
        joined += part;
    }
    const std::uint64_t high = parse_half(base::sha256_hex(joined).substr(0, half_digits)).value();
    // OPTIMIZATION: The body gets a fast hash. With large bodies, a SHA-256 of them took as much CPU time as
    // everything else that a host does.
    return {high, base::hash64(parts.body, high)};
}

namespace {

/// Upper half of the second number in the fingerprint of a prompt part; the lower one names the service.
constexpr std::uint64_t prompt_part_mark = 0x7061'7274;
constexpr int mark_shift = 32;

} // namespace

service_key service_key_of(std::string_view service) {
    return static_cast<service_key>(base::hash64(service));
}

service_key service_key_of(const request_fingerprint& prompt_part) {
    return static_cast<service_key>(prompt_part.low);
}

request_fingerprint fingerprint_of(const prompt_part& part) {
    const request_fingerprint named = fingerprint_of(
        {.caller = part.organisation, .host = {}, .method = part.service, .target = part.id, .body = {}});
    return {named.high, prompt_part_mark << mark_shift | service_key_of(part.service)};
}

bool is_prompt_part(const request_fingerprint& fingerprint) {
    return fingerprint.low >> mark_shift == prompt_part_mark;
}

std::string to_text(const request_fingerprint& fingerprint) {
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text(2 * half_digits, '0');
    std::size_t position = text.size();
    for (std::uint64_t half : {fingerprint.low, fingerprint.high}) {
        for (std::size_t digit = 0; digit < half_digits; ++digit) {
            text[--position] = digits[half % hexadecimal];
            half /= hexadecimal;
        }
    }
    return text;
}

std::optional<request_fingerprint> parse_fingerprint(std::string_view text) {
    if (text.size() != 2 * half_digits)
        return std::nullopt;
    const auto high = parse_half(text.substr(0, half_digits));
    const auto low = parse_half(text.substr(half_digits));
    if (!high || !low)
        return std::nullopt;
    return request_fingerprint{*high, *low};
}

} // namespace postpaddle::host
