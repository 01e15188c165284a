// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/stream_origin/stream_origin_message.h>

#include <base/json_parser.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace postpaddle::gateway {

namespace {

using nlohmann::json;

constexpr int last_kind = static_cast<int>(stream_origin_message_kind::inference);
/// Bound on the lifetime that another host may ask for.
constexpr std::int64_t max_lifetime_ms = 3'600'000;

} // namespace

std::string encode_stream_origin(const stream_origin_message& message) {
    json value = {static_cast<int>(message.kind), message.from.value,           message.keys.by_id.high,
                  message.keys.by_id.low,         message.keys.by_content.high, message.keys.by_content.low,
                  message.lifetime.count()};
    if (message.origin) {
        value.push_back(message.origin->service);
        value.push_back(message.origin->software_version);
    }
    std::string bytes;
    json::to_msgpack(value, bytes);
    return bytes;
}

std::optional<stream_origin_message> decode_stream_origin(std::string_view bytes) {
    static constexpr std::size_t fields_without_origin = 7;
    try {
        const json value = base::parse_msgpack(bytes);
        const int kind = value.at(0).get<int>();
        if (kind < 0 || kind > last_kind)
            return std::nullopt;
        const auto lifetime = std::clamp<std::int64_t>(value.at(6).get<std::int64_t>(), 0, max_lifetime_ms);
        stream_origin_message message{
            .kind = static_cast<stream_origin_message_kind>(kind),
            .from = {value.at(1).get<std::string>()},
            .keys = {.by_id = {value.at(2).get<std::uint64_t>(), value.at(3).get<std::uint64_t>()},
                     .by_content = {value.at(4).get<std::uint64_t>(), value.at(5).get<std::uint64_t>()}},
            .lifetime = std::chrono::milliseconds(lifetime)};
        if (value.size() > fields_without_origin)
            message.origin = host::stream_origin{.service = value.at(7).get<std::string>(),
                                                 .software_version = value.at(8).get<std::string>()};
        const bool lacks_origin =
            message.kind == stream_origin_message_kind::record && !message.origin.has_value();
        if (message.from.is_empty() || lacks_origin)
            return std::nullopt;
        return message;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace postpaddle::gateway
