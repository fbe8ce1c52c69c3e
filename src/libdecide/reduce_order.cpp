#include "domains.hpp"

namespace dandeliontack
{

namespace
{

// log_order has already put the operator records in their place.
void apply_one(const reduce_context&, const operators_ordered&) {}

void apply_one(const reduce_context& context, const record_malformed& e)
{
    context.reject(e.found);
}

void apply_one(const reduce_context& context, const snapshot_chunk& e)
{
    auto& order = context.current.order;
    const auto& writer = context.cause.origin.writer;
    if (e.index == 0)
        order.progress = {writer, e.system_end, 0};
    const bool next = order.progress.writer == writer &&
                      order.progress.system_end == e.system_end &&
                      order.progress.next_index == e.index;
    if (!next)
        return;
    ++order.progress.next_index;
    if (order.progress.next_index == e.count)
        order.snapshot_end = e.system_end;
}

void feed(hasher& h, const finding& item)
{
    h.add(item.file);
    h.add(item.line);
    h.add(item.key);
    h.add(item.message);
}

void feed(hasher& h, const rejection& item)
{
    h.add(item.stream);
    h.add(item.offset);
    dandeliontack::feed(h, item.writer);
    h.add(item.found.size());
    for (const auto& found : item.found)
        feed(h, found);
}

} // namespace

void apply(const reduce_context& context, const order_event& e)
{
    std::visit([&](const auto& one) { apply_one(context, one); }, e);
}

void feed(hasher& h, const incarnation& value)
{
    h.add(value.high);
    h.add(value.low);
}

void feed(hasher& h, const order_state& s)
{
    h.add(s.system_end);
    h.add(s.operators_end);
    h.add(s.records);
    h.add(s.writers.size());
    for (const auto& [writer, mark] : s.writers)
    {
        feed(h, writer);
        h.add(mark.sequence);
        h.add(mark.seen);
    }
    h.add(s.rejections.size());
    for (const auto& item : s.rejections)
        feed(h, item);
    h.add(s.snapshot_end);
    feed(h, s.progress.writer);
    h.add(s.progress.system_end);
    h.add(s.progress.next_index);
}

} // namespace dandeliontack
