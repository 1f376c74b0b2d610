package place

import "math/bits"

// bitmap has one bit for each task of a job. The lowest bit of the first byte
// is task 0.
type bitmap []byte

func (b bitmap) has(index int) bool {
	return index/8 < len(b) && b[index/8]&(1<<(index%8)) != 0
}

// with sets a bit and returns the bitmap, which it extends to size bits if it
// is shorter.
func (b bitmap) with(index, size int) bitmap {
	for len(b) < (size+7)/8 {
		b = append(b, 0)
	}
	b[index/8] |= 1 << (index % 8)
	return b
}

func (b bitmap) count() int {
	n := 0
	for _, one := range b {
		n += bits.OnesCount8(one)
	}
	return n
}
