// SPDX-License-Identifier: BSD-2-Clause
#include <service/filter_chain.h>
#include <service/prompt_facts.h>
#include <wire/authorization.h>

#include <base/json_parser.h>
#include <decision/route_table.h>

#include <boost/algorithm/string/predicate.hpp>

namespace postpaddle::service {

namespace {

constexpr std::string_view bearer = "Bearer";

problem_details unauthorised() {
    return {401,
            "unauthorised",
            "The key is missing or not known",
            "Send `Authorization: Bearer KEY`.",
            run_outcome::not_run,
            {},
            {}};
}

problem_details not_found(std::string detail) {
    return {404, "not-found", "There is no such model or path", std::move(detail), run_outcome::not_run,
            {},  {}};
}

problem_details bad_request(std::string detail) {
    return {400, "bad-request", "The request can't be read", std::move(detail), run_outcome::not_run, {}, {}};
}

filter_result read_completion(request_context& context) {
    if (context.request.method != "POST")
        return tl::make_unexpected(problem_details{
            405, "method-not-allowed", "Only POST goes here", "", run_outcome::not_run, {}, {}});
    context.body = base::parse_json(context.request.body);
    if (!context.body.is_object())
        return tl::make_unexpected(bad_request("The body is not a JSON object."));
    auto prompt = read_prompt(context.body, context.api, *context.policy);
    if (!prompt)
        return tl::make_unexpected(bad_request(prompt.error()));
    const auto deployment = context.policy->deployments.find({prompt->model});
    if (deployment == context.policy->deployments.end())
        return tl::make_unexpected(not_found("Model `" + prompt->model + "` is not offered here."));
    context.is_streamed = prompt->is_streamed;
    context.wants_usage = prompt->wants_usage;
    context.body["max_tokens"] = prompt->max_tokens;
    context.facts = make_facts(*prompt, *context.policy, deployment->second);
    context.facts.id = context.id;
    return {};
}

filter_result find_route(request_context& context) {
    const std::string_view path = decision::path_of_target(context.request.target);
    for (const settings::route_settings& route : context.policy->routes) {
        if (!boost::algorithm::starts_with(path, route.prefix))
            continue;
        context.kind = request_kind::plain;
        context.route = &route;
        return {};
    }
    return tl::make_unexpected(not_found("No route for this path."));
}

} // namespace

filter_result authenticate(request_context& context, wire::yield_context /*yield*/) {
    context.settings = context.services->settings->current();
    if (!context.settings)
        return tl::make_unexpected(overloaded_problem("This host has no settings yet."));
    if (const auto key = wire::find_authorization_key(context.request.headers, bearer))
        context.policy = context.settings->policy_of_key(*key);
    if (context.policy == nullptr) {
        ++context.services->process_metrics->counters.unauthorised;
        return tl::make_unexpected(unauthorised());
    }
    const std::string_view path = decision::path_of_target(context.request.target);
    if (path == wire::path_of(wire::completion_api::completions))
        return read_completion(context);
    if (path == wire::path_of(wire::completion_api::chat)) {
        context.api = wire::completion_api::chat;
        return read_completion(context);
    }
    return find_route(context);
}

} // namespace postpaddle::service
