// SPDX-License-Identifier: BSD-2-Clause
#include <service/filter_chain.h>

namespace postpaddle::service {

filter_result decide(request_context& context, wire::yield_context /*yield*/) {
    context.mailbox = std::make_shared<request_mailbox>(*context.services->context);
    context.connection->watch_for_disconnect([mailbox = context.mailbox] { mailbox->did_lose_caller(); });
    context.lifecycle.handle_event(lifecycle_event::admitted);
    if (context.kind == request_kind::plain)
        return {};
    (*context.services->mailboxes)[context.id] = context.mailbox;
    if (context.services->decision->try_submit(context.facts))
        return {};
    ++context.services->process_metrics->counters.ring_full;
    context.services->mailboxes->erase(context.id);
    context.connection->stop_watching();
    return tl::make_unexpected(overloaded_problem("Too many requests wait for a decision."));
}

} // namespace postpaddle::service
