// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/router.h>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace postpaddle::test {

/// A topology of that many prefill and decode engines in two zones, with one deployment `one`.
[[nodiscard]] decision::topology make_topology(int prefills, int decodes, int places);

/// Facts of an ordinary request.
[[nodiscard]] decision::request_facts make_facts(const std::string& id,
                                                 const std::string& organisation = "/a",
                                                 int prompt_tokens = 1000, int max_tokens = 50);

/// What the world knows of one request.
struct world_request {
    decision::request_facts facts;
    int attempt = 0;
    bool is_prefilling = false;
    bool is_decoding = false; ///< Decode was started; no first token yet.
    bool is_streaming = false;
    bool has_sent = false; ///< Anything went upstream.
    bool has_failed_unrefused = false;
    int ends = 0; ///< Final answers: refusals, whole answers, or the caller's own going.
    int starts_after_end = 0;
    int unrefused_starts = 0; ///< Starts that were not refused before they began.
};

/// Random callers and engines around a decision core: delivers events in any order and keeps count.
class random_world {
public:
    random_world(std::uint64_t seed, const decision::router_options& options);

    /// One random thing happens.
    void act();
    /// All that is in progress ends, and every release is confirmed.
    void finish();
    /// Empty, or the promise that was broken.
    [[nodiscard]] std::string broken_promise() const;

    decision::router_state state;
    std::map<base::request_id, world_request> requests;

private:
    void deliver(const decision::event& event);
    void take(const decision::effect& effect);
    void arrive();
    void progress();
    void fail();
    void leave_caller();
    void confirm_release();
    void confuse();
    [[nodiscard]] base::request_id any_request();

    std::mt19937_64 random;
    base::time_point now{std::chrono::hours(1)};
    std::vector<decision::release_hold> releases;
    int arrivals = 0;
};

} // namespace postpaddle::test
