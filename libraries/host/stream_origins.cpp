// SPDX-License-Identifier: BSD-2-Clause
#include <host/stream_origins.h>

#include <host/request_fingerprint.h>

#include <algorithm>

namespace postpaddle::host {

stream_key key_of_stream(const stream_key_parts& parts) {
    const request_fingerprint fingerprint = fingerprint_of({.caller = parts.organisation.value,
                                                            .host = parts.host,
                                                            .method = {},
                                                            .target = {},
                                                            .body = parts.request_id});
    return {fingerprint.high, fingerprint.low};
}

void stream_origins::record(const stream_key& key, const stream_origin& origin, base::time_point expires) {
    const auto [record, is_new] = this->records.try_emplace(key);
    record->second.expires = std::max(record->second.expires, expires);
    const bool is_contradicted = !is_new && *record->second.origin != origin;
    if (is_new || is_contradicted)
        record->second.origin = &*this->known.insert(is_contradicted ? stream_origin{} : origin).first;
    if (!is_new)
        return;
    this->in_order.push_back(key);
    if (this->in_order.size() <= max_records)
        return;
    this->records.erase(this->in_order.front());
    this->in_order.pop_front();
}

std::optional<stream_origin> stream_origins::find(const stream_key& key, base::time_point now) const {
    const auto found = this->records.find(key);
    if (found == this->records.end() || found->second.expires <= now ||
        found->second.origin->software_version.empty())
        return std::nullopt;
    return *found->second.origin;
}

void stream_origins::record(const stream_keys& keys, const stream_origin& origin, base::time_point expires) {
    this->record(keys.by_id, origin, expires);
}

std::optional<stream_origin> stream_origins::find(const stream_keys& keys, base::time_point now) const {
    return keys.by_id == stream_key{} ? std::nullopt : this->find(keys.by_id, now);
}

void stream_origins::remove_expired(base::time_point now) {
    // Lifetimes differ little, so a record behind a longer-lived one is dropped only slightly late.
    while (!this->in_order.empty() && this->records.at(this->in_order.front()).expires <= now) {
        this->records.erase(this->in_order.front());
        this->in_order.pop_front();
    }
}

} // namespace postpaddle::host
