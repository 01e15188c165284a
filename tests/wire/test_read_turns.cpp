// SPDX-License-Identifier: BSD-2-Clause
// Guards against callers who send much and so keep all other work from being done.
#include <wire/read_turns.h>

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace postpaddle;

namespace {

/// Turns, and who had one.
struct recorded_turns {
    std::unique_ptr<wire::read_turns::scoped_wait> wait(const std::string& source, const std::string& name) {
        return std::make_unique<wire::read_turns::scoped_wait>(*this->turns, source,
                                                               [this, name] { this->had.push_back(name); });
    }

    wire::asio::io_context context;
    std::shared_ptr<wire::read_turns> turns = std::make_shared<wire::read_turns>(this->context);
    std::vector<std::string> had;
};

} // namespace

TEST_CASE("sources take turns, however many connections each has") {
    recorded_turns turns;
    const auto first = turns.wait("crowd", "crowd-1");
    const auto second = turns.wait("crowd", "crowd-2");
    const auto third = turns.wait("crowd", "crowd-3");
    const auto other = turns.wait("other", "other");
    turns.context.run();
    CHECK(turns.had == std::vector<std::string>{"crowd-1", "other", "crowd-2", "crowd-3"});
    CHECK(third->has_turn());
}

TEST_CASE("other work is done between any two turns") {
    recorded_turns turns;
    const auto first = turns.wait("crowd", "turn");
    const auto second = turns.wait("crowd", "turn");
    wire::asio::post(turns.context, [&] { turns.had.emplace_back("other work"); });
    turns.context.run();
    CHECK(turns.had == std::vector<std::string>{"turn", "other work", "turn"});
}

TEST_CASE("a connection that ended gets no turn, and the next one does") {
    recorded_turns turns;
    auto ended = turns.wait("one", "ended");
    const auto next = turns.wait("two", "next");
    ended.reset();
    turns.context.run();
    CHECK(turns.had == std::vector<std::string>{"next"});
}
