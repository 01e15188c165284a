// SPDX-License-Identifier: BSD-2-Clause
#include <host/owner.h>

#include <boost/algorithm/string.hpp>

#include <array>
#include <charconv>
#include <vector>

namespace postpaddle::host {

namespace {

constexpr int hexadecimal = 16;

std::string to_hexadecimal(std::uint64_t value) {
    std::array<char, 16> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, hexadecimal).ptr;
    return {digits.data(), end};
}

} // namespace

base::request_id make_request_id(const owner& who, std::uint64_t sequence) {
    return {who.host.value + "." + to_hexadecimal(who.incarnation) + "." + to_hexadecimal(sequence)};
}

std::string make_attempt_id(const base::request_id& id, int attempt) {
    return id.value + "." + std::to_string(attempt);
}

std::optional<owner> owner_of(std::string_view id) {
    static constexpr std::size_t min_parts = 3;
    std::vector<std::string> parts;
    boost::split(parts, id, boost::is_any_of("."));
    if (parts.size() < min_parts || parts[0].empty())
        return std::nullopt;
    owner who{{parts[0]}, 0};
    const std::string& text = parts[1];
    const auto [rest, error] =
        std::from_chars(text.data(), text.data() + text.size(), who.incarnation, hexadecimal);
    if (error != std::errc{} || rest != text.data() + text.size())
        return std::nullopt;
    return who;
}

} // namespace postpaddle::host
