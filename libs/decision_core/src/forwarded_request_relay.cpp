// The members of forwarded_request that pass it on to another instance, because this one reaches no endpoint.
#include "forwarded_request.hpp" // forwarded_request

#include <string> // string

namespace parsleyshift::detail
{
namespace
{

/// Attempts without a connection after which a request is passed on to another instance.
constexpr int max_connect_failures = 2;
/// Other instances that a request is passed on to, one after the other.
constexpr std::size_t max_relays = 3;

} // namespace

bool forwarded_request::needs_relay() const
{
    const bool lacks_links = state_.reachability.lost() || connect_failures_ >= max_connect_failures;
    return lacks_links && !request_.relayed && relays_.size() < max_relays;
}

bool forwarded_request::start_relay()
{
    const member_update* peer = state_.draw_relay(relays_, admission_.regions);
    if (peer == nullptr)
    {
        return false;
    }
    if (permit_)
    {
        permit_->release(0, false);
    }
    relays_.push_back(peer->instance);
    relaying_ = true;
    ++attempt_count_;
    ++possible_runs_;
    endpoint_ = endpoint_id{};
    endpoint_address_ = peer->address;
    begin_attempt();
    emit_attempt(std::nullopt, "relay=" + peer->instance.value());
    return true;
}

void forwarded_request::on_links_lost()
{
    if (relaying_ || answer_delivered_)
    {
        return;
    }
    if (attempt_ == attempt_id{})
    {
        ++retry_timer_step_;
        select_endpoint();
        return;
    }
    repeat_attempt();
}

void forwarded_request::record_link_evidence(attempt_failure failure)
{
    switch (failure)
    {
    case attempt_failure::connect_failed:
        ++connect_failures_;
        state_.reachability.record_failure(state_.now);
        break;
    case attempt_failure::link_broken:
        state_.reachability.record_failure(state_.now);
        break;
    case attempt_failure::deadline_passed:
    case attempt_failure::not_sent:
    case attempt_failure::invalid_head:
        break;
    default:
        state_.endpoint_answered();
        break;
    }
}

void forwarded_request::on_relay_failed(const attempt_failed& failed)
{
    tracker_.attempt_failed(failed.failure);
    possible_runs_ -= proves_not_run(failed.failure) ? 1 : 0;
    end_attempt(run_end::stopped, false);
    if (answer_delivered_)
    {
        reject(make_error(error_kind::incomplete_answer, receiver() + ": " + failed.message));
        return;
    }
    if (failed.failure == attempt_failure::not_sent)
    {
        select_endpoint();
        return;
    }
    if (reject_if_unsendable(failed))
    {
        return;
    }
    if (proves_not_run(failed.failure) && failed.failure != attempt_failure::deadline_passed && needs_relay() &&
        start_relay())
    {
        return;
    }
    retry_or_reject(failed.failure);
}

} // namespace parsleyshift::detail
