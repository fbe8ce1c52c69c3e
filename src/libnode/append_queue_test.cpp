#include <dandeliontack/append_queue.hpp>
#include <dandeliontack/pause.hpp>

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace dandeliontack
{

namespace
{

namespace asio = boost::asio;
using records = append_queue::record_list;

constexpr auto append_time = std::chrono::milliseconds(2);

} // namespace

// Found by the bench on trouble-3 --seed 961146807480: a record of orders that
// was made before an order and stored after it hid the order from a successor.
TEST(append_queue, stores_no_older_state_after_a_newer_one)
{
    asio::io_context context(1);
    std::vector<std::string> stored;
    append_queue queue(
        context.get_executor(), [&](records list) -> asio::awaitable<bool> {
            co_await pause_for(context.get_executor(), append_time);
            stored.push_back(list.front().value);
            co_return true;
        });
    std::string state;
    const auto save = [&](char change) -> asio::awaitable<void> {
        state.push_back(change);
        const auto make = [&] { return records{{"key", state, 0}}; };
        co_await queue.append(make);
    };
    // The first goes on at once and is ahead of the second, which waits.
    const auto save_twice = [&]() -> asio::awaitable<void> {
        co_await save('a');
        co_await save('c');
    };
    asio::co_spawn(context, save_twice(), asio::detached);
    asio::co_spawn(context, save('b'), asio::detached);
    context.run();
    ASSERT_EQ(stored.size(), 3U);
    EXPECT_EQ(stored.back(), "abc");
    EXPECT_TRUE(std::ranges::is_sorted(stored, {}, &std::string::size));
    EXPECT_FALSE(queue.is_busy());
}

} // namespace dandeliontack
