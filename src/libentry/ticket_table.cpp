#include <dandeliontack/ticket_table.hpp>

#include <boost/beast/http.hpp>

#include <algorithm>
#include <utility>

namespace dandeliontack
{

namespace
{

constexpr std::uint64_t fnv_basis = 14695981039346656037U;
constexpr std::uint64_t fnv_prime = 1099511628211U;

std::uint64_t fnv(std::uint64_t hash, std::string_view bytes)
{
    for (const unsigned char byte : bytes)
        hash = (hash ^ byte) * fnv_prime;
    // Ends the part, so that its border counts.
    return (hash ^ bytes.size()) * fnv_prime;
}

std::string_view view_of(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

// A response with what holds its fields.
std::size_t bytes_of(const http_response& response)
{
    constexpr std::size_t field_overhead_bytes = 80;
    std::size_t bytes = response.body().size();
    for (const auto& field : response)
        bytes += field.name_string().size() + field.value().size() +
                 field_overhead_bytes;
    return bytes;
}

} // namespace

std::uint64_t fingerprint_of(const http_request& request)
{
    auto hash = fnv(fnv_basis, view_of(request.method_string()));
    hash = fnv(hash, view_of(request.target()));
    hash = fnv(hash, view_of(request["tack-schema-version"]));
    return fnv(hash, request.body());
}

ticket_table::ticket_table(ticket_limits limits) : limits_(limits) {}

bool ticket_table::issue(std::uint64_t number, time_point now)
{
    expire(now);
    if (entries_.size() >= limits_.capacity)
        return false;
    if (!entries_.try_emplace(number).second)
        return false;
    issued_.push_back({now, number});
    return true;
}

ticket_claim ticket_table::claim_of(const entry& found)
{
    switch (found.at)
    {
    case state::running:
        return {ticket_verdict::wait, nullptr};
    case state::answered:
        return found.answer
                   ? ticket_claim{ticket_verdict::replay, found.answer}
                   : ticket_claim{ticket_verdict::answer_gone, nullptr};
    case state::not_run:
        return {ticket_verdict::not_run, nullptr};
    default:
        return {ticket_verdict::unknown, nullptr};
    }
}

ticket_claim ticket_table::claim(
    std::uint64_t number, std::uint64_t fingerprint, time_point now)
{
    expire(now);
    const auto found = entries_.find(number);
    if (found == entries_.end())
        return {ticket_verdict::forgotten, nullptr};
    auto& item = found->second;
    if (item.at == state::issued)
    {
        item.at = state::running;
        item.fingerprint = fingerprint;
        return {ticket_verdict::run, nullptr};
    }
    if (item.fingerprint != fingerprint)
        return {ticket_verdict::other_request, nullptr};
    return claim_of(item);
}

void ticket_table::finish(
    std::uint64_t number, run_end end,
    std::shared_ptr<const http_response> answer)
{
    const auto found = entries_.find(number);
    if (found == entries_.end() || found->second.at != state::running)
        return;
    auto& item = found->second;
    item.at = end == run_end::not_run ? state::not_run : state::unknown;
    if (end != run_end::answered)
        return;
    item.at = state::answered;
    if (!answer || bytes_of(*answer) > limits_.answer_bytes)
        return;
    item.answer = std::move(answer);
    kept_bytes_ += bytes_of(*item.answer);
    kept_.push_back(number);
    while (kept_bytes_ > limits_.answer_bytes)
    {
        const auto oldest = entries_.find(kept_.front());
        kept_.pop_front();
        if (oldest != entries_.end())
            drop_answer(oldest->second);
    }
}

void ticket_table::drop_answer(entry& from)
{
    if (from.answer)
        kept_bytes_ -= bytes_of(*from.answer);
    from.answer.reset();
}

void ticket_table::expire(time_point now)
{
    while (!issued_.empty() && issued_.front().at + limits_.lifetime <= now)
    {
        const auto number = issued_.front().number;
        issued_.pop_front();
        const auto found = entries_.find(number);
        if (found->second.at == state::running)
        {
            // A run under way is remembered until it has ended.
            issued_.push_back({now, number});
            continue;
        }
        drop_answer(found->second);
        entries_.erase(found);
    }
    while (!kept_.empty() && !entries_.contains(kept_.front()))
        kept_.pop_front();
}

} // namespace dandeliontack
