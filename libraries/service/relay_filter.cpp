// SPDX-License-Identifier: BSD-2-Clause
#include <service/filter_chain.h>

#include <service/completion_relay.h>
#include <service/plain_relay.h>

namespace postpaddle::service {

filter_result relay(request_context& context, wire::yield_context yield) {
    filter_result result = context.kind == request_kind::completion ? completion_relay(context).run(yield)
                                                                    : relay_plain(context, yield);
    context.connection->stop_watching();
    context.services->mailboxes->erase(context.id);
    return result;
}

} // namespace postpaddle::service
