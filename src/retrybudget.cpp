/** \file
 * Implements the retry budgets.
 */
#include "retrybudget.h"

#include <algorithm>

namespace Cyclamenturn
{

void RetryBudget::setShare(double share)
{
    m_share = share;
}

double &RetryBudget::balance(const std::string &className)
{
    return m_balances.emplace(className, CAPACITY).first->second;
}

void RetryBudget::noteServed(const std::string &className)
{
    double &value = balance(className);
    value = std::min(CAPACITY, value + m_share);
}

bool RetryBudget::tryTake(const std::string &className)
{
    double &value = balance(className);
    if (value < 1) {
        return false;
    }
    value -= 1;
    return true;
}

}
