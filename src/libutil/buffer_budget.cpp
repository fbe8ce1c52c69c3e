#include <dandeliontack/buffer_budget.hpp>

#include <algorithm>
#include <ranges>
#include <utility>
#include <vector>

namespace dandeliontack
{

namespace
{

// Above this share of the limit no connection is added.
constexpr double newcomer_share = 0.875;
// Hysteresis: incomplete messages give way until this share is left, so that
// one shedding makes room for many ordinary messages.
constexpr double shed_share = 0.75;

std::uint64_t share_of(std::uint64_t limit, double share)
{
    return static_cast<std::uint64_t>(static_cast<double>(limit) * share);
}

} // namespace

bool buffer_budget::admits_connection(time_point now)
{
    if (held_ <= share_of(limit_, newcomer_share))
        return true;
    shed(now);
    return false;
}

void buffer_budget::shed(time_point now)
{
    shed_from(
        buffer_share_state::incomplete, share_of(limit_, shed_share), now);
    if (held_ > limit_)
        shed_from(
            buffer_share_state::responding, share_of(limit_, shed_share), now);
}

void buffer_budget::shed_from(
    buffer_share_state from, std::uint64_t wanted, time_point now)
{
    // A message that has just begun counts by its bytes.
    const auto cost = [now](const buffer_share* share) {
        const std::chrono::duration<double> held_for =
            now - share->since_ + std::chrono::milliseconds(1);
        return static_cast<double>(share->bytes_) * held_for.count();
    };
    std::vector<std::pair<double, buffer_share*>> by_cost;
    for (auto* share : shares_)
        if (share->state_ == from && share->bytes_ != 0)
            by_cost.emplace_back(cost(share), share);
    std::ranges::sort(by_cost, std::greater<>());
    for (auto* share : by_cost | std::views::values)
    {
        if (held_ <= wanted)
            break;
        share->give_up();
    }
}

buffer_share::buffer_share(
    std::shared_ptr<buffer_budget> budget, std::function<void()> give_up)
    : budget_(std::move(budget)),
      end_message_(std::move(give_up)),
      place_(budget_->shares_.insert(budget_->shares_.end(), this))
{}

buffer_share::~buffer_share()
{
    release();
    budget_->shares_.erase(place_);
}

void buffer_share::begin(time_point now)
{
    since_ = now;
    state_ = buffer_share_state::incomplete;
}

bool buffer_share::hold(std::uint64_t bytes, time_point now)
{
    if (state_ == buffer_share_state::given_up)
        return true;
    const bool more = bytes > bytes_;
    set_bytes(bytes);
    if (more && budget_->held_ > budget_->limit_)
        budget_->shed(now);
    return !more || has_room();
}

bool buffer_share::has_room() const
{
    return state_ == buffer_share_state::given_up || budget_->leaving_ == 0 ||
           budget_->held_ + budget_->leaving_ <= budget_->limit_;
}

void buffer_share::complete()
{
    if (state_ == buffer_share_state::incomplete)
        state_ = buffer_share_state::complete;
}

void buffer_share::respond(time_point now)
{
    if (state_ != buffer_share_state::complete)
        return;
    since_ = now;
    state_ = buffer_share_state::responding;
}

void buffer_share::release()
{
    if (state_ == buffer_share_state::given_up)
        budget_->leaving_ -= std::exchange(bytes_, 0);
    set_bytes(0);
    state_ = buffer_share_state::idle;
}

void buffer_share::give_up()
{
    budget_->held_ -= bytes_;
    budget_->leaving_ += bytes_;
    state_ = buffer_share_state::given_up;
    end_message_();
}

void buffer_share::set_bytes(std::uint64_t bytes)
{
    budget_->held_ += bytes - bytes_;
    bytes_ = bytes;
}

} // namespace dandeliontack
