// SPDX-License-Identifier: BSD-2-Clause
#include <host/recent_streams.h>

#include <utility>

namespace postpaddle::host {

void recent_streams::remove_expired(base::time_point now) {
    // Lifetimes differ little, so a stream behind a longer-lived one is dropped only slightly late.
    while (!this->streams.empty() &&
           (this->streams.front().expires <= now || this->streams.size() > max_streams))
        this->streams.pop_front();
}

void recent_streams::add(const journal_record& record, bool is_journalled, base::time_point now) {
    this->streams.push_back({record, is_journalled, now + record.lifetime});
    this->remove_expired(now);
}

std::vector<journal_record>
recent_streams::take_unrecorded(const std::function<bool(const journal_record&)>& is_needed,
                                base::time_point now) {
    this->remove_expired(now);
    std::vector<journal_record> taken;
    for (stream& known : this->streams)
        if (!known.is_journalled && is_needed(known.record)) {
            known.is_journalled = true;
            taken.push_back(known.record);
        }
    return taken;
}

} // namespace postpaddle::host
