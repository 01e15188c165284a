// SPDX-License-Identifier: BSD-2-Clause
#include <host/read_ending.h>

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace postpaddle;

// Guards against an ending that the table lacks, or names like another one.
TEST_CASE("each ending of a read has its own name and row") {
    std::set<std::string> names;
    for (std::size_t number = 0; number < host::read_endings; ++number) {
        const auto ending = static_cast<host::read_ending>(number);
        names.insert(host::to_text(ending));
        const auto evidence = host::evidence_of(ending);
        CHECK((evidence.subject == host::read_subject::none) == (ending == host::read_ending::answered));
    }
    CHECK(names.size() == host::read_endings);
}

// Guards against an answer of the store's that is taken for its silence, and against what this process or a
// single connection did that is.
TEST_CASE(
    "what the store says of a call proves that it is there, and no failure of this host proves anything") {
    using host::read_ending;
    using host::store_proof;
    for (const auto ending : {read_ending::answered, read_ending::history_lost, read_ending::rejected})
        CHECK(host::evidence_of(ending).proof == store_proof::present);
    for (const auto ending :
         {read_ending::lost_wait, read_ending::cut, read_ending::unreadable, read_ending::ended_too_late})
        CHECK(host::evidence_of(ending).proof == store_proof::none);
    for (const auto ending : {read_ending::turned_away, read_ending::no_answer})
        CHECK(host::evidence_of(ending).proof == store_proof::absent);
}
