#include <parsleyshift/configuration/source_relay.hpp> // source_relay

#include <algorithm> // count_if, find_if, max, move, none_of
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
    if (!watch_.listed() || silent_readers() >= settings_.max_silent_readers)
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
    pull_in_progress_ = sent_pull{reader->instance, ++last_pull_number_, now, to_lower_rank};
    return addressed_pull{*reader, {last_pull_number_, watch_.as_of(), true, true, true, watch_.era()}};
}

source_relay::answer_result source_relay::handle_answer(const instance_id& from, const source_answer& answer,
                                                        time_point now)
{
    if (!pull_in_progress_ || from != pull_in_progress_->to || answer.pull_number != pull_in_progress_->number)
    {
        return answer_result::ignored;
    }
    if (answer.follows)
    {
        return answer_result::announced;
    }
    const time_point sent_at = pull_in_progress_->sent_at;
    const bool from_lower_rank = pull_in_progress_->to_lower_rank;
    pull_in_progress_.reset();
    const bool complete = answer.available || answer.complete;
    if (!complete || !watch_.is_current(answer.era, answer.at_revision) || answer.age < duration{})
    {
        avoid(from, true, now);
        return answer_result::refused;
    }
    if (!watch_.apply_relayed(answer, sent_at))
    {
        avoid(from, true, now);
        return answer_result::refused;
    }
    if (!answer.available)
    {
        avoid(from, true, now);
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
    avoid(pull_in_progress_->to, false, now);
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

void source_relay::record_read()
{
    skip_watch_wait_ = false;
    source_unavailable_ = false;
    follows_lower_rank_ = false;
    next_direct_read_ = time_point{};
}

void source_relay::record_failed_read(time_point retry_at)
{
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
    const bool answer_after_next_read = watch_.listed() && !source_unavailable_ && watch_.is_current(pull);
    if (answer_after_next_read)
    {
        pending_pulls_.push_back({from, pull});
        return {};
    }
    source_answer answer = watch_.answer_to(pull, now);
    answer.available = answer.available && !source_unavailable_;
    std::vector<source_answer> answers;
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
    std::vector<addressed_answer> notices;
    std::vector<addressed_answer> answers;
    for (pending_pull& pending : std::exchange(pending_pulls_, {}))
    {
        source_answer answer = watch_.answer_to(pending.pull, now);
        answer.available = answer.available && successful;
        if (auto notice = notice_before(answer, pending.pull, now))
        {
            notices.push_back({pending.from, std::move(*notice)});
        }
        answers.push_back({std::move(pending.from), std::move(answer)});
    }
    std::move(answers.begin(), answers.end(), std::back_inserter(notices));
    return notices;
}

} // namespace parsleyshift
