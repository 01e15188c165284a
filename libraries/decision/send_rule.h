// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

namespace postpaddle::decision {

/// How one send to an upstream ended.
enum class send_result {
    answered,      ///< Its own whole answer, also one of failure.
    server_error,  ///< Its own whole answer of status 5xx, for work that it began.
    not_connected, ///< No connection came about: nothing was sent.
    not_run,       ///< Its own word that it did not and will not run the request.
    broken,        ///< Sent, and the answer is missing, cut or another's.
    late,          ///< Sent, and no answer in time.
};

/// What an upstream is sent a request for.
enum class send_kind {
    run,         ///< To answer it.
    read_prompt, ///< To read and keep its prompt.
};

/// What is known of one request's sends. Certainty only grows: `may_have_run` is never taken back.
struct send_record {
    bool is_repeatable = false;
    int most_sends = 1;    ///< Upstreams that the request may run on.
    int connects = 0;      ///< Tries that never connected.
    int sends = 0;         ///< Sends that may have run.
    int refusals = 0;      ///< Sends that an upstream refused.
    int prompts_taken = 0; ///< Prompts that an engine may have taken up.
    int arrivals = 0;      ///< Sends that the retry budget counts; all but the first are extra.
    bool may_have_run = false;

    bool operator==(const send_record&) const = default;
};

/// What the host itself answers when no upstream's answer can be passed on.
enum class own_answer {
    not_run,   ///< 503: it has not run and never will.
    failed,    ///< 502: it may have run.
    timed_out, ///< 504: it may have run, and the time is over.
};

/// Whether the retry budget counts a send that ended so: every run that reached an upstream, refused or not;
/// of prompts those that were refused, and each one taken up after the first.
[[nodiscard]] bool counts_as_arrival(const send_record& record, send_kind kind, send_result result);

/// Takes the end of a send into the record.
void note_result(send_record& record, send_kind kind, send_result result);

/// Whether the rules let the request go to another upstream after that result. The retry budget and the
/// time left are the caller's to check.
[[nodiscard]] bool may_send_again(const send_record& record, send_result last);

/// Whether a further send would reach an upstream as one more than the request's first.
[[nodiscard]] bool is_extra_send(const send_record& record);

/// Whether the request may still run on another upstream after the send that is in progress.
[[nodiscard]] bool may_go_elsewhere(const send_record& record);

/// Time that a try may take: all that is left, or a part of it where the request may go elsewhere after.
[[nodiscard]] base::duration time_for_try(const send_record& record, base::duration left);

/// When a caller that was refused is told to come back: once a place is expected, and with time left to be
/// served.
[[nodiscard]] base::duration retry_after(base::duration left, base::duration longest,
                                         base::duration until_place);

/// The honest answer after the last result.
[[nodiscard]] own_answer answer_for(const send_record& record, send_result last);

/// Word for a result, as in logs.
[[nodiscard]] const char* to_text(send_result result);

} // namespace postpaddle::decision
