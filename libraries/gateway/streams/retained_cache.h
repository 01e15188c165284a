// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_request.h>

#include <optional>
#include <set>

namespace postpaddle::gateway {

/// KV cache of a request's prompt retained by a prefill engine until a decode engine fetches it, it is
/// released, or it expires.
class retained_cache {
public:
    explicit retained_cache(gateway_request& request) : request(&request) {}

    /// Takes charge of the cache of a prompt that an engine has just processed.
    void retain(ports::retained_prompt prompt);
    [[nodiscard]] bool has_value() const { return this->prompt.has_value(); }
    [[nodiscard]] const std::optional<ports::retained_prompt>& value() const { return this->prompt; }
    /// Waits for a decode engine to fetch the cache: one with room or, shortly before the cache expires, one
    /// that looks full but has not refused the request yet. Releases an expired cache. Returns nothing while
    /// the cache is still held if no engine can be used at all.
    [[nodiscard]] std::optional<decision::engine_plan> await_decode_engine(const decision::prompt_size& size,
                                                                           wire::yield_context yield);
    /// Records that an engine that was to fetch the cache refused the request.
    void did_refuse(const base::upstream_id& engine, const ports::answer_facts& facts,
                    const decision::prompt_size& size);
    /// Drops the cache without releasing it: it has been fetched, or may have been.
    void forget() { this->prompt.reset(); }
    /// Asks the engine to free the memory, without waiting for its answer.
    void release();

private:
    [[nodiscard]] base::duration age() const;

    gateway_request* request;
    std::optional<ports::retained_prompt> prompt;
    base::time_point retained_at{};
    int refusals = 0;
    std::set<base::upstream_id> refused_by;
};

} // namespace postpaddle::gateway
