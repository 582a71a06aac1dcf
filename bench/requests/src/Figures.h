#ifndef waxwingyoke_bench_requests_Figures_h
#define waxwingyoke_bench_requests_Figures_h

#include <sstream>
#include <string>
#include <string_view>

namespace waxwingyoke::bench_requests {

/** Builds a JSON object of named figures. */
class Figures
{
public:
  Figures& Add(std::string_view aName, double aValue)
  {
    std::ostringstream text;
    text << aValue;
    return AddJson(aName, text.str());
  }

  Figures& AddJson(std::string_view aName, const std::string& aJson)
  {
    text_ += text_.empty() ? "{" : ",";
    text_ += "\"" + std::string(aName) + "\":" + aJson;
    return *this;
  }

  std::string Finish() const { return text_.empty() ? "{}" : text_ + "}"; }

private:
  std::string text_;
};

} // namespace waxwingyoke::bench_requests

#endif // waxwingyoke_bench_requests_Figures_h
