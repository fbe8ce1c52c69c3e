#pragma once

#include <vector>

namespace dandeliontack::capacity
{

/// One measured value at one size.
struct sample
{
    double size = 0;
    double value = 0;
};

/// `value = base + slope * size`.
struct fitted_line
{
    double base = 0;
    double slope = 0;

    double at(double size) const
    {
        return base + slope * size;
    }
};

/// Least squares through at least two samples of different sizes.
fitted_line fit_line(const std::vector<sample>& samples);

} // namespace dandeliontack::capacity
