#include <dandeliontack/client_account.hpp>

#include <benchmark/benchmark.h>

namespace dandeliontack
{

namespace
{

constexpr std::int64_t keys_per_account = 10;

std::string key_of(std::int64_t number)
{
    return "key-of-an-account-" + std::to_string(number);
}

account_table make_table(std::int64_t accounts)
{
    account_table table;
    for (std::int64_t i = 0; i < accounts; ++i)
    {
        client_account account;
        account.name = "account-" + std::to_string(i);
        std::vector<std::string> keys;
        keys.reserve(keys_per_account);
        for (std::int64_t k = 0; k < keys_per_account; ++k)
            keys.push_back(key_of(i * keys_per_account + k));
        table.add(std::move(account), std::move(keys));
    }
    return table;
}

void look_up_key(benchmark::State& state)
{
    const auto table = make_table(state.range(0));
    const auto keys = state.range(0) * keys_per_account;
    constexpr std::int64_t stride = 7919;
    std::int64_t number = 0;
    for (auto _ : state)
    {
        number = (number + stride) % keys;
        benchmark::DoNotOptimize(table.find_by_key(key_of(number)));
    }
}
BENCHMARK(look_up_key)->Arg(20)->Arg(1000);

} // namespace

} // namespace dandeliontack
