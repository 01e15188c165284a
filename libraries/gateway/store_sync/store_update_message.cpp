// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/store_sync/store_update_message.h>

#include <base/json_parser.h>
#include <gateway/peers/zone_record_codec.h>
#include <gateway/store_sync/registry_rows.h>

namespace postpaddle::gateway {

using nlohmann::json;

namespace {

/// Encoded in place of an age if the time is unknown.
constexpr std::int64_t unknown_age = -1;
/// Greater ages are of no use to anybody.
constexpr std::int64_t max_age_ms = 24L * 3'600'000;

/// Offset and age in milliseconds, rounded up: knowledge must not seem younger than it is.
json encode_topic(const topic_update& topic, base::time_point now) {
    if (topic.until == base::time_point{})
        return {topic.next, unknown_age};
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - topic.until).count();
    return {topic.next, std::min(age, max_age_ms)};
}

topic_update decode_topic(const json& value, base::time_point now) {
    topic_update topic{.next = value.at(0).get<std::uint64_t>()};
    const auto age = value.at(1).get<std::int64_t>();
    if (age >= 0 && age < max_age_ms)
        topic.until = now - std::chrono::milliseconds(age);
    return topic;
}

/// Ages in milliseconds of a span's beginning and end, rounded so that it does not seem longer than it is.
json encode_span(const host::served_span& span, base::time_point now) {
    const auto since = std::chrono::floor<std::chrono::milliseconds>(now - span.since).count();
    const auto until = std::chrono::ceil<std::chrono::milliseconds>(now - span.until).count();
    return {std::min(since, max_age_ms), until};
}

host::served_span decode_span(const json& value, base::time_point now) {
    const auto since = value.at(0).get<std::int64_t>();
    const auto until = value.at(1).get<std::int64_t>();
    if (until < 0 || until > since || since > max_age_ms)
        return {};
    return {.since = now - std::chrono::milliseconds(since), .until = now - std::chrono::milliseconds(until)};
}

json to_json(const store_update& update, base::time_point now) {
    json value = {{"host", update.host.value},
                  {"incarnation", update.stamp.incarnation},
                  {"sent", update.stamp.sent.count()},
                  {"settings_version", update.settings_version},
                  {"settings", encode_topic(update.settings, now)},
                  {"registry", encode_topic(update.registry, now)},
                  {"is_read_failing", update.is_read_failing},
                  {"is_store_absent", update.is_store_absent},
                  {"is_uninformed", update.is_uninformed},
                  {"changes_since", update.changes_since},
                  {"changes", json::binary(json::to_msgpack(encode_changes(update.changes)))},
                  {"zones", encode_zones(update.zones)}};
    if (update.in_reply_to)
        value["in_reply_to"] = update.in_reply_to->count();
    if (update.served != host::served_span{})
        value["served"] = encode_span(update.served, now);
    return value;
}

/// Returns nothing if a change is malformed. Throws `json::exception` if another field is.
std::optional<store_update> update_from(const json& value, base::time_point now, std::uint64_t known_next) {
    store_update update{.host = {value.at("host").get<std::string>()},
                        .stamp = {.incarnation = value.at("incarnation").get<std::uint64_t>(),
                                  .sent = std::chrono::milliseconds(value.at("sent").get<std::int64_t>())},
                        .settings_version = value.at("settings_version").get<std::uint64_t>(),
                        .settings = decode_topic(value.at("settings"), now),
                        .registry = decode_topic(value.at("registry"), now),
                        .is_read_failing = value.at("is_read_failing").get<bool>(),
                        .changes_since = value.at("changes_since").get<std::uint64_t>(),
                        .changes = {},
                        .zones = decode_zones(value)};
    if (update.registry.next > known_next) {
        auto changes = decode_changes(base::parse_msgpack(value.at("changes").get_binary()));
        if (!changes)
            return std::nullopt;
        update.changes = std::move(*changes);
    }
    // Hosts of an earlier version only tell that their reads fail.
    update.is_store_absent = value.value("is_store_absent", update.is_read_failing);
    update.is_uninformed = value.value("is_uninformed", false);
    if (value.contains("served"))
        update.served = decode_span(value["served"], now);
    if (value.contains("in_reply_to"))
        update.in_reply_to = std::chrono::milliseconds(value["in_reply_to"].get<std::int64_t>());
    return update;
}

std::string to_bytes(const json& value) {
    std::string bytes;
    json::to_msgpack(value, bytes);
    return bytes;
}

} // namespace

std::string encode_store_update(const store_update& update, base::time_point now) {
    return to_bytes(to_json(update, now));
}

std::optional<store_update> decode_store_update(std::string_view bytes, base::time_point now,
                                                std::uint64_t known_next) {
    try {
        return update_from(base::parse_msgpack(bytes), now, known_next);
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::string encode_store_query(const store_query& query) {
    return to_bytes(
        {query.host.value, query.address, query.sent.count(), query.registry_next, query.is_store_absent});
}

std::optional<store_query> decode_store_query(std::string_view bytes) {
    try {
        const json value = base::parse_msgpack(bytes);
        return store_query{.host = {value.at(0).get<std::string>()},
                           .address = value.at(1).get<std::string>(),
                           .sent = std::chrono::milliseconds(value.at(2).get<std::int64_t>()),
                           .registry_next = value.at(3).get<std::uint64_t>(),
                           .is_store_absent = value.at(4).get<bool>()};
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace postpaddle::gateway
