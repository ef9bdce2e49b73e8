#include "app/HolderMessages.h"

#include "app/CallerRequest.h"
#include "protocol/HttpHeadMessages.h"

#include <algorithm>

namespace chicoryferry {

wire::PeerMessage makeGrant(CallerRequest& request, std::uint64_t claim, std::chrono::milliseconds remainingDeadline)
{
    const std::chrono::microseconds deadline = std::max(remainingDeadline, std::chrono::milliseconds(0));
    wire::PeerMessage message;
    wire::Grant& grant = *message.mutable_grant();
    grant.set_request(request.description.request);
    grant.set_claim(claim);
    grant.set_service(request.description.service);
    grant.set_remaining_deadline_us(static_cast<std::uint64_t>(deadline.count()));
    grant.set_answer_credit(request.answer->credit());
    grant.set_body(request.body.takeForRun());
    grant.set_body_complete(request.body.isComplete());
    writeRequestHead(request.head, *grant.mutable_head());
    grant.mutable_head()->set_caller(formatEndpoint(request.description.caller));
    return message;
}

wire::PeerMessage makeRequestBody(
    std::uint64_t request, std::uint64_t claim, std::uint64_t offset, std::string data, bool last)
{
    wire::PeerMessage message;
    wire::RequestBody& body = *message.mutable_request_body();
    body.set_request(request);
    body.set_claim(claim);
    body.set_offset(offset);
    body.set_data(std::move(data));
    body.set_last(last);
    return message;
}

wire::PeerMessage makeAnswerCredit(std::uint64_t request, std::uint64_t claim, std::size_t bytes)
{
    wire::PeerMessage message;
    wire::AnswerCredit& credit = *message.mutable_answer_credit();
    credit.set_request(request);
    credit.set_claim(claim);
    credit.set_bytes(bytes);
    return message;
}

wire::PeerMessage makeCancel(std::uint64_t request, std::uint64_t claim, const std::string& reason)
{
    wire::PeerMessage message;
    wire::Cancel& cancel = *message.mutable_cancel();
    cancel.set_request(request);
    cancel.set_claim(claim);
    cancel.set_reason(reason);
    return message;
}

}
