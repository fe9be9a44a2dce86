#include <parsleyshift/orders/order_table.hpp> // order_table

#include <utility> // move

namespace parsleyshift
{

minted_key order_table::mint(time_point now)
{
    last_serial_ = last_serial_.next();
    if (unplaced_send_deadlines_.size() >= settings_.max_orders)
    {
        unplaced_send_deadlines_.erase(unplaced_send_deadlines_.begin());
    }
    unplaced_send_deadlines_.emplace(last_serial_, now + settings_.send_window);
    return minted_key{last_serial_, now + settings_.send_window, now + settings_.key_lifetime};
}

order_decision order_table::place(const minted_key& key, fingerprint content, time_point now)
{
    unplaced_send_deadlines_.erase(key.serial);
    if (now >= key.expires)
    {
        return make_error(error_kind::key_expired, "the order key has expired and its result is no longer kept");
    }
    if (const auto found = entries_.find(key.serial); found != entries_.end())
    {
        if (found->second.content != content)
        {
            return make_error(error_kind::invalid_field, "key: already used for another operation or payload");
        }
        return look_up(key.serial);
    }
    if (entries_.size() >= settings_.max_orders)
    {
        return make_error(error_kind::queue_full, "the order table of the instance is full", duration{1'000});
    }
    entries_.emplace(key.serial, entry{content, key.send_deadline, std::nullopt});
    expiries_.add(key.expires, key.serial);
    if (now >= key.send_deadline)
    {
        order_result not_run{outcome::not_run,
                             {},
                             make_error(error_kind::deadline_passed, "the send deadline of the order key has passed")};
        finish(key.serial, not_run);
        return not_run;
    }
    return order_must_be_sent{};
}

order_decision order_table::look_up(order_serial serial) const
{
    const auto found = entries_.find(serial);
    if (found == entries_.end())
    {
        return make_error(error_kind::not_found, "no order was placed under this key");
    }
    if (found->second.final_result)
    {
        return *found->second.final_result;
    }
    return order_in_progress{};
}

bool order_table::allow_resend(order_serial serial, time_point now)
{
    const auto found = entries_.find(serial);
    if (found == entries_.end() || found->second.final_result)
    {
        return false;
    }
    if (now < found->second.send_deadline)
    {
        return true;
    }
    finish(serial, {outcome::not_run,
                    {},
                    make_error(error_kind::deadline_passed,
                               "no endpoint started the order before the send deadline of its key")});
    return false;
}

void order_table::finish(order_serial serial, order_result result)
{
    const auto found = entries_.find(serial);
    if (found != entries_.end() && !found->second.final_result)
    {
        found->second.final_result = std::move(result);
    }
}

order_decision order_table::close_unsent(const minted_key& key, fingerprint content, error why, time_point now)
{
    order_decision decision = place(key, content, now);
    if (!std::holds_alternative<order_must_be_sent>(decision))
    {
        return decision;
    }
    order_result not_run{outcome::not_run, {}, std::move(why)};
    finish(key.serial, not_run);
    return not_run;
}

void order_table::expire(time_point now)
{
    while (!unplaced_send_deadlines_.empty() && unplaced_send_deadlines_.begin()->second <= now)
    {
        unplaced_send_deadlines_.erase(unplaced_send_deadlines_.begin());
    }
    order_serial expired;
    while (expiries_.take_due(now, expired))
    {
        entries_.erase(expired);
    }
}

} // namespace parsleyshift
