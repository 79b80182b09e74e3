package declaration

// closest returns the candidate with the smallest edit distance to word, or the empty
// string when none is similar enough to suggest.
func closest(word string, candidates []string) string {
	best, bestDistance := "", len(word)/3+1
	for _, c := range candidates {
		if distance := editDistance(word, c); distance <= bestDistance && (best == "" || distance < bestDistance) {
			best, bestDistance = c, distance
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of a and b in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j+1]+1, row[j]+1)
		}
	}
	return row[len(b)]
}
