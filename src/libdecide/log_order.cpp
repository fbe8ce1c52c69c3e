#include <dandeliontack/log_order.hpp>

#include <algorithm>
#include <utility>

namespace dandeliontack
{

log_order::log_order(std::uint64_t system_begin, std::uint64_t operators_begin)
    : ordered_end_(operators_begin)
{
    system_.next = system_begin;
    operators_.next = operators_begin;
}

bool log_order::push(event e)
{
    auto& to = e.origin.stream == log_stream::system ? system_ : operators_;
    if (e.origin.offset != to.next)
        return false;
    ++to.next;
    to.held.push_back(std::move(e));
    return true;
}

std::optional<event> log_order::pop_front(lane& from)
{
    if (from.held.empty())
        return std::nullopt;
    auto e = std::move(from.held.front());
    from.held.pop_front();
    return e;
}

std::optional<event> log_order::pop()
{
    const auto first_held = operators_.next - operators_.held.size();
    if (first_held < ordered_end_)
        return pop_front(operators_);
    auto e = pop_front(system_);
    if (!e)
        return std::nullopt;
    const auto* order = std::get_if<order_event>(&e->body);
    const auto* mark = order ? std::get_if<operators_ordered>(order) : nullptr;
    if (mark)
        ordered_end_ = std::max(ordered_end_, mark->end);
    return e;
}

std::uint64_t log_order::next_offset(log_stream stream) const
{
    return stream == log_stream::system ? system_.next : operators_.next;
}

} // namespace dandeliontack
