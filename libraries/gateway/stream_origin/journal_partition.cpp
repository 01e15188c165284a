// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/stream_origin/journal_partition.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

/// Least pause between two writes. Bounds the calls of all partitions to some tens a second.
constexpr base::duration write_interval = 100ms;
constexpr auto call_timeout = std::chrono::milliseconds(400);
/// Records of a batch. With some hundred bytes each, far below the store's limit for a record.
constexpr std::size_t max_records = 512;
/// Until deletions that failed are tried again.
constexpr base::duration deletion_retry = 5s;
/// Batches that one write deletes.
constexpr std::size_t max_deletions = 64;

std::string make_batch_key(std::mt19937_64& random) {
    std::array<char, 17> text{};
    (void)std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(random()));
    return text.data();
}

} // namespace

journal_partition::journal_partition(gateway_state& state, ports::control_feed& feed, std::uint32_t number)
    : state(&state), feed(&feed), number(number),
      log(state, {.read_newest =
                      [this](wire::yield_context yield) {
                          return this->feed->newest_journal(this->number, call_timeout, yield);
                      },
                  .read_after =
                      [this](std::uint64_t offset, wire::yield_context yield) {
                          return this->feed->journal_after(this->number, offset, call_timeout, yield);
                      },
                  .apply = [this](const ports::journal_page& page) { this->apply(page); },
                  .did_read =
                      [this](bool is_complete) {
                          this->state->metrics->count(is_complete ? "journal_reads_total"
                                                                  : "journal_reads_failed_total");
                      }}) {}

bool journal_partition::write(const std::vector<host::journal_record>& records, wire::yield_context yield) {
    if (this->waiting.empty() || this->waiting.back()->records.size() >= max_records)
        this->waiting.push_back(std::make_shared<batch>(*this->state->context));
    const std::shared_ptr<batch> own = this->waiting.back();
    own->records.insert(own->records.end(), records.begin(), records.end());
    this->write_next();
    wire::error_code ignored;
    if (!own->is_written)
        own->done.async_wait(yield[ignored]);
    return own->is_written.value_or(false);
}

void journal_partition::write_next() {
    if (this->is_writing)
        return;
    this->is_writing = true;
    wire::spawn_coroutine(*this->state->context, [this](wire::yield_context yield) {
        wire::boot_timer pause(*this->state->context);
        wire::error_code ignored;
        while (!this->waiting.empty()) {
            pause.expires_at(this->written_at + write_interval);
            pause.async_wait(yield[ignored]);
            // Records may have come meanwhile.
            const std::shared_ptr<batch> next = this->waiting.front();
            this->waiting.pop_front();
            this->written_at = this->state->clock->now();
            this->write_batch(next, yield);
        }
        this->is_writing = false;
    });
}

void journal_partition::write_batch(const std::shared_ptr<batch>& next, wire::yield_context yield) {
    std::vector<ports::journal_batch> batches = this->take_expired();
    const std::string key = make_batch_key(this->state->random);
    const base::time_point next_deletion = this->state->clock->now() + deletion_retry;
    if (!next->records.empty())
        batches.push_back({key, host::encode_journal_batch(next->records)});
    const auto written = this->feed->append_journal(this->number, batches, call_timeout, yield);
    this->state->metrics->count(written ? "journal_writes_total" : "journal_writes_failed_total");
    if (written && !next->records.empty())
        this->record_batch(key, next->records);
    if (!written)
        for (const ports::journal_batch& deleted : batches)
            if (!deleted.bytes)
                this->expiry_of_batch[deleted.key] = next_deletion;
    // The store may have taken them although its answer was lost.
    const bool may_be_written = !written && ports::may_have_taken_effect(written.error().failure);
    next->is_written = written || (may_be_written && !next->records.empty() && this->has_batch(key, yield));
    next->done.cancel();
}

bool journal_partition::has_batch(const std::string& key, wire::yield_context yield) {
    return this->log.refresh(yield) && this->expiry_of_batch.contains(key);
}

void journal_partition::record_batch(const std::string& key,
                                     const std::vector<host::journal_record>& records) {
    const base::time_point now = this->state->clock->now();
    base::time_point expires = now;
    for (const host::journal_record& record : records) {
        this->index.add(record, now);
        expires = std::max(expires, now + record.lifetime);
    }
    this->expiry_of_batch[key] = expires;
}

std::vector<ports::journal_batch> journal_partition::take_expired() {
    const base::time_point now = this->state->clock->now();
    std::vector<ports::journal_batch> deleted;
    for (auto known = this->expiry_of_batch.begin();
         known != this->expiry_of_batch.end() && deleted.size() < max_deletions;) {
        if (known->second > now) {
            ++known;
            continue;
        }
        deleted.push_back({known->first, std::nullopt});
        known = this->expiry_of_batch.erase(known);
    }
    return deleted;
}

void journal_partition::remove_expired() {
    const base::time_point now = this->state->clock->now();
    this->index.remove_expired(now);
    const bool has_expired =
        std::ranges::any_of(this->expiry_of_batch, [&](const auto& item) { return item.second <= now; });
    if (!has_expired || !this->waiting.empty())
        return;
    this->waiting.push_back(std::make_shared<batch>(*this->state->context));
    this->write_next();
}

void journal_partition::apply(const ports::journal_page& page) {
    for (const ports::journal_batch& read : page.batches) {
        if (!read.bytes) {
            this->expiry_of_batch.erase(read.key);
            continue;
        }
        if (this->expiry_of_batch.contains(read.key))
            continue;
        if (const auto records = host::decode_journal_batch(*read.bytes))
            this->record_batch(read.key, *records);
        else
            this->state->metrics->count("unreadable_journal_batches_total");
    }
}

std::optional<host::journal_findings> journal_partition::find(const host::stream_keys& keys,
                                                              wire::yield_context yield) {
    if (!this->log.refresh(yield))
        return std::nullopt;
    return this->index.find(keys, this->state->clock->now());
}

} // namespace postpaddle::gateway
