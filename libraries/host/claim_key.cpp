// SPDX-License-Identifier: BSD-2-Clause
#include <host/claim_key.h>

#include <boost/uuid/string_generator.hpp>
#include <boost/uuid/uuid.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <stdexcept>

namespace postpaddle::host {

namespace {

constexpr std::size_t time_bytes = 6;
constexpr unsigned byte_bits = 8;
constexpr std::size_t version_byte = 6;
constexpr std::size_t variant_byte = 8;
constexpr std::size_t text_length = 36;

} // namespace

std::optional<std::int64_t> uuid7_milliseconds(std::string_view text) {
    static constexpr unsigned version_mask = 0xF0;
    static constexpr unsigned version_seven = 0x70;
    if (text.size() != text_length)
        return std::nullopt;
    try {
        const auto id = boost::uuids::string_generator()(text.begin(), text.end());
        if ((id.data[version_byte] & version_mask) != version_seven)
            return std::nullopt;
        std::int64_t milliseconds = 0;
        for (std::size_t index = 0; index < time_bytes; ++index)
            milliseconds = (milliseconds << byte_bits) | id.data[index];
        return milliseconds;
    } catch (const std::runtime_error&) {
        return std::nullopt;
    }
}

std::string make_uuid7(std::int64_t milliseconds, std::uint64_t random_high, std::uint64_t random_low) {
    boost::uuids::uuid id{};
    for (std::size_t index = 0; index < time_bytes; ++index)
        id.data[time_bytes - 1 - index] = static_cast<std::uint8_t>(milliseconds >> (byte_bits * index));
    for (std::size_t index = 0; index < 2; ++index)
        id.data[version_byte + index] = static_cast<std::uint8_t>(random_high >> (byte_bits * index));
    for (std::size_t index = 0; index < byte_bits; ++index)
        id.data[variant_byte + index] = static_cast<std::uint8_t>(random_low >> (byte_bits * index));
    id.data[version_byte] = static_cast<std::uint8_t>((id.data[version_byte] & 0x0FU) | 0x70U);
    id.data[variant_byte] = static_cast<std::uint8_t>((id.data[variant_byte] & 0x3FU) | 0x80U);
    return boost::uuids::to_string(id);
}

} // namespace postpaddle::host
