#include <dandeliontack/finding.hpp>

#include <numeric>

namespace dandeliontack
{

std::string to_string(const finding& item)
{
    std::string text = item.file;
    if (item.line != 0)
        text += ":" + std::to_string(item.line);
    text += ": ";
    if (!item.key.empty())
        text += item.key + ": ";
    return text + item.message;
}

std::string to_string(const findings& items)
{
    return std::accumulate(
        items.begin(), items.end(), std::string(),
        [](std::string text, const finding& item) {
            return std::move(text) + to_string(item) + "\n";
        });
}

} // namespace dandeliontack
