// SPDX-License-Identifier: BSD-2-Clause
#include <host/read_ending.h>

#include <base/verify.h>

#include <array>

namespace postpaddle::host {

namespace {

struct ending_row {
    read_ending ending{};
    const char* name = "";
    read_evidence evidence;
};

constexpr std::array<ending_row, read_endings> rows = {{
    {read_ending::answered, "answered", {store_proof::present, read_subject::none}},
    // Whatever the store answers, if it is about the call, it is there to answer.
    {read_ending::history_lost, "history_lost", {store_proof::present, read_subject::store}},
    {read_ending::rejected, "rejected", {store_proof::present, read_subject::store}},
    {read_ending::turned_away, "turned_away", {store_proof::absent, read_subject::store}},
    {read_ending::no_answer, "no_answer", {store_proof::absent, read_subject::link}},
    // An open connection may fall silent while new ones work, so the next read tells.
    {read_ending::lost_wait, "lost_wait", {store_proof::none, read_subject::link}},
    {read_ending::cut, "cut", {store_proof::none, read_subject::link}},
    {read_ending::unreadable, "unreadable", {store_proof::none, read_subject::store}},
    {read_ending::ended_too_late, "ended_too_late", {store_proof::none, read_subject::host}},
}};

const ending_row& row_of(read_ending ending) {
    const ending_row& row = rows.at(static_cast<std::size_t>(ending));
    POSTPADDLE_VERIFY(row.ending == ending);
    return row;
}

} // namespace

read_evidence evidence_of(read_ending ending) { return row_of(ending).evidence; }

const char* to_text(read_ending ending) { return row_of(ending).name; }

} // namespace postpaddle::host
