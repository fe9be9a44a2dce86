#include <parsleyshift/configuration/source_relay.hpp> // source_relay

#include <algorithm> // any_of, count_if, find_if, max, min, move, none_of
#include <iterator>  // back_inserter
#include <utility>   // exchange, move

namespace parsleyshift
{

std::size_t size_of(const source_answer& answer)
{
    std::size_t bytes = 0;
    for (const source_change& change : answer.changes)
    {
        bytes += change.key.size() + change.value.size();
    }
    return bytes;
}

std::optional<addressed_pull> source_relay::next_pull(const source_readers& readers, time_point now)
{
    std::erase_if(avoided_, [now](const avoided_reader& each) { return each.until <= now; });
    if (silent_readers() >= settings_.max_silent_readers)
    {
        return std::nullopt;
    }
    const source_peer* reader = first_usable(readers.preferred);
    const bool to_lower_rank = reader == nullptr && source_unavailable_ && now < next_direct_read_;
    if (to_lower_rank)
    {
        reader = first_usable(readers.others);
    }
    if (reader == nullptr)
    {
        return std::nullopt;
    }
    pull_in_progress_ = sent_pull{*reader, ++last_pull_number_, now, to_lower_rank};
    return addressed_pull{*reader, {last_pull_number_, watch_.as_of(), true, true, true, watch_.era()}};
}

bool source_relay::pulls_from(const source_peer& peer) const
{
    return pull_in_progress_ && (pull_in_progress_->to.instance == peer.instance ||
                                 (!peer.address.empty() && pull_in_progress_->to.address == peer.address));
}

source_relay::answer_result source_relay::handle_answer(const source_peer& from, const source_answer& answer,
                                                        time_point now)
{
    if (!pulls_from(from) || answer.pull_number != pull_in_progress_->number)
    {
        return answer_result::ignored;
    }
    if (answer.follows)
    {
        pull_in_progress_->progresses = true;
        return answer.in_progress ? answer_result::waiting : answer_result::announced;
    }
    const instance_id reader = pull_in_progress_->to.instance;
    const time_point sent_at = pull_in_progress_->sent_at;
    const bool from_lower_rank = pull_in_progress_->to_lower_rank;
    pull_in_progress_.reset();
    const bool complete = answer.available || answer.complete;
    if (!complete || !watch_.is_current(answer.era, answer.at_revision) || answer.age < duration{})
    {
        avoid(reader, true, now);
        return answer_result::refused;
    }
    if (!watch_.apply_relayed(answer, sent_at))
    {
        avoid(reader, true, now);
        return answer_result::refused;
    }
    if (!answer.available)
    {
        avoid(reader, true, now);
        return answer_result::unconfirmed;
    }
    // An instance that follows a lower rank answers pulls at once without confirming its copy: the reader that it
    // follows may itself be waiting for it.
    source_unavailable_ = from_lower_rank;
    follows_lower_rank_ = from_lower_rank;
    skip_watch_wait_ = from_lower_rank;
    return answer_result::accepted;
}

bool source_relay::handle_timeout(std::uint64_t number, time_point now)
{
    if (!pull_in_progress_ || pull_in_progress_->number != number)
    {
        return false;
    }
    avoid(pull_in_progress_->to.instance, false, now);
    pull_in_progress_.reset();
    return true;
}

void source_relay::avoid(const instance_id& reader, bool has_answered, time_point now)
{
    follows_lower_rank_ = false;
    const duration period = has_answered ? settings_.refusal_avoidance : settings_.silence_avoidance;
    avoided_.push_back({reader, now + period, has_answered});
    skip_watch_wait_ = true;
}

const source_peer* source_relay::first_usable(const std::vector<source_peer>& readers) const
{
    const auto found = std::find_if(readers.begin(), readers.end(),
                                    [this](const source_peer& reader)
                                    {
                                        return std::none_of(avoided_.begin(), avoided_.end(),
                                                            [&reader](const avoided_reader& each)
                                                            { return each.instance == reader.instance; });
                                    });
    return found == readers.end() ? nullptr : &*found;
}

std::size_t source_relay::silent_readers() const
{
    return static_cast<std::size_t>(
        std::count_if(avoided_.begin(), avoided_.end(), [](const avoided_reader& each) { return !each.has_answered; }));
}

void source_relay::begin_read()
{
    reading_ = true;
}

void source_relay::record_read()
{
    reading_ = false;
    skip_watch_wait_ = false;
    source_unavailable_ = false;
    follows_lower_rank_ = false;
    next_direct_read_ = time_point{};
}

void source_relay::record_failed_read(time_point retry_at)
{
    reading_ = false;
    skip_watch_wait_ = false;
    source_unavailable_ = true;
    next_direct_read_ = retry_at;
    if (std::erase_if(avoided_, [](const avoided_reader& each) { return each.has_answered; }) == 0)
    {
        avoided_.clear();
    }
}

std::vector<source_answer> source_relay::handle_pull(const source_peer& from, const source_pull& pull, time_point now)
{
    std::erase_if(pending_pulls_,
                  [&from](const pending_pull& pending) { return pending.from.instance == from.instance; });
    // Two instances must not wait for each other.
    const bool may_wait = !source_unavailable_ && !pulls_from(from);
    if (may_wait && (!watch_.listed() || watch_.is_current(pull)))
    {
        pending_pulls_.push_back({from, pull, now, now + settings_.progress_interval});
        return {};
    }
    source_answer answer = watch_.answer_to(pull, now);
    answer.available = answer.available && may_wait;
    std::vector<source_answer> answers;
    if (pull.accepts_notice && size_of(answer) >= settings_.large_answer && !link_has_room(now))
    {
        pending_pulls_.push_back({from, pull, now, now + settings_.progress_interval, true});
        return answers;
    }
    if (auto notice = notice_before(answer, pull, now))
    {
        answers.push_back(std::move(*notice));
    }
    answers.push_back(std::move(answer));
    return answers;
}

std::optional<source_answer> source_relay::notice_before(const source_answer& answer, const source_pull& pull,
                                                         time_point now)
{
    const double bytes = static_cast<double>(size_of(answer));
    link_busy_until_ =
        std::max(link_busy_until_, now) + duration{static_cast<duration::rep>(bytes / settings_.min_link_rate)};
    if (!pull.accepts_notice || link_busy_until_ - now <= settings_.max_busy_time)
    {
        return std::nullopt;
    }
    source_answer notice;
    notice.pull_number = pull.pull_number;
    notice.follows = true;
    return notice;
}

std::vector<addressed_answer> source_relay::take_pending_answers(bool successful, time_point now)
{
    return answer_pending(std::exchange(pending_pulls_, {}), successful, now);
}

std::vector<addressed_answer> source_relay::take_large_answers(time_point now)
{
    std::vector<pending_pull> waiting;
    std::vector<pending_pull> others;
    for (pending_pull& pending : pending_pulls_)
    {
        (pending.waits_for_link ? waiting : others).push_back(std::move(pending));
    }
    pending_pulls_ = std::move(others);
    return answer_pending(std::move(waiting), !source_unavailable_, now);
}

time_point source_relay::next_large_answers() const
{
    const bool has_waiting = std::any_of(pending_pulls_.begin(), pending_pulls_.end(),
                                         [](const pending_pull& pending) { return pending.waits_for_link; });
    return has_waiting ? link_busy_until_ - settings_.max_queued_time : never;
}

std::vector<addressed_answer> source_relay::answer_pending(std::vector<pending_pull> pulls, bool successful,
                                                           time_point now)
{
    std::vector<addressed_answer> notices;
    std::vector<addressed_answer> answers;
    for (pending_pull& pending : pulls)
    {
        if (pending.waits_for_link && !link_has_room(now))
        {
            pending_pulls_.push_back(std::move(pending));
            continue;
        }
        source_answer answer = watch_.answer_to(pending.pull, pending.arrived_at);
        answer.available = answer.available && successful;
        if (pending.pull.accepts_notice && size_of(answer) >= settings_.large_answer && !link_has_room(now))
        {
            pending.waits_for_link = true;
            pending_pulls_.push_back(std::move(pending));
            continue;
        }
        if (auto notice = notice_before(answer, pending.pull, now))
        {
            notices.push_back({pending.from, std::move(*notice)});
        }
        answers.push_back({std::move(pending.from), std::move(answer)});
    }
    std::move(answers.begin(), answers.end(), std::back_inserter(notices));
    return notices;
}

std::vector<addressed_answer> source_relay::take_progress_signs(time_point now)
{
    std::vector<addressed_answer> signs;
    for (pending_pull& pending : pending_pulls_)
    {
        if (!progresses() || !pending.pull.accepts_notice || pending.next_sign_at > now)
        {
            continue;
        }
        pending.next_sign_at = now + settings_.progress_interval;
        source_answer sign;
        sign.pull_number = pending.pull.pull_number;
        sign.follows = true;
        sign.in_progress = true;
        signs.push_back({pending.from, std::move(sign)});
    }
    return signs;
}

time_point source_relay::next_progress_sign() const
{
    time_point next = never;
    for (const pending_pull& pending : pending_pulls_)
    {
        next = progresses() && pending.pull.accepts_notice ? std::min(next, pending.next_sign_at) : next;
    }
    return next;
}

} // namespace parsleyshift
