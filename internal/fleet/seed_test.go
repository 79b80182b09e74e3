package fleet

import "github.com/vanillapier/vanillapier/internal/rapidseed"

func init() { rapidseed.Fix() }
