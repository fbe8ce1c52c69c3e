#include "domains.hpp"
#include <dandeliontack/reducer.hpp>

#include <algorithm>
#include <vector>

namespace dandeliontack
{

namespace
{

constexpr std::size_t kept_rejections = 64;
// A resend comes within seconds; this many writers cover hours.
constexpr std::size_t kept_writers = 4096;
constexpr std::size_t forgotten_at_once = 256;

std::string_view stream_name(log_stream stream)
{
    return stream == log_stream::operators ? "operators" : "system";
}

void advance_end(order_state& order, const event_origin& origin)
{
    auto& end = origin.stream == log_stream::operators ? order.operators_end
                                                       : order.system_end;
    end = origin.offset + 1;
}

// Looks at every writer, so it forgets many at once.
void forget_oldest_writers(order_state& order)
{
    std::vector<std::uint64_t> ages;
    ages.reserve(order.writers.size());
    for (const auto& [writer, mark] : order.writers)
        ages.push_back(mark.seen);
    const auto last_forgotten =
        ages.begin() + static_cast<std::ptrdiff_t>(forgotten_at_once) - 1;
    std::ranges::nth_element(ages, last_forgotten);
    std::erase_if(order.writers, [&](const auto& item) {
        return item.second.seen <= *last_forgotten;
    });
}

// Notes the record's sequence; returns whether it is a second copy.
bool is_duplicate(order_state& order, const event_origin& origin)
{
    ++order.records;
    auto& mark = order.writers[origin.writer];
    const bool seen = mark.seen != 0 && origin.sequence <= mark.sequence;
    mark.seen = order.records;
    if (!seen)
        mark.sequence = origin.sequence;
    if (order.writers.size() >= kept_writers + forgotten_at_once)
        forget_oldest_writers(order);
    return seen;
}

} // namespace

void reduce_context::reject(findings found) const
{
    auto& kept = current.order.rejections;
    const auto& origin = cause.origin;
    todo.emplace_back(record_rejected{origin.writer, origin.sequence, found});
    kept.push_back(
        {origin.stream, origin.offset, origin.writer, std::move(found)});
    if (kept.size() > kept_rejections)
        kept.pop_front();
}

void reduce_context::reject(
    const std::string& key, const std::string& message) const
{
    const auto& origin = cause.origin;
    const auto place = std::string(stream_name(origin.stream)) + "@" +
                       std::to_string(origin.offset);
    reject({{place, 0, key, message}});
}

reduction reduce(state current, const event& e)
{
    reduction result{std::move(current), {}};
    advance_end(result.next.order, e.origin);
    const reduce_context context{result.next, e, result.todo};
    const auto* order = std::get_if<order_event>(&e.body);
    if (order && std::holds_alternative<record_malformed>(*order))
    {
        // Its writer and sequence can't be trusted, so they aren't noted.
        apply(context, *order);
        return result;
    }
    if (is_duplicate(result.next.order, e.origin))
    {
        result.todo.emplace_back(
            duplicate_dropped{e.origin.writer, e.origin.sequence});
        return result;
    }
    auto& membership = result.next.membership;
    if (is_fenced(membership, e))
    {
        ++membership.fenced;
        result.todo.emplace_back(
            record_fenced{e.origin.writer, e.origin.sequence, e.origin.term});
        return result;
    }
    std::visit([&](const auto& body) { apply(context, body); }, e.body);
    return result;
}

std::uint64_t hash_of(const state& s)
{
    hasher h;
    feed(h, s.order);
    feed(h, s.config);
    feed(h, s.membership);
    feed(h, s.fleet);
    feed(h, s.jobs);
    return h.digest();
}

} // namespace dandeliontack
